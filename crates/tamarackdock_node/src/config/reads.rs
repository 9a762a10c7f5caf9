use std::{rc::Rc, time::Duration};

use slog::debug;
use tamarackdock_config::{
    accept::{HEAD_KEY, Head, object_name, version_key},
    version::{Checksum, Delta, VersionNumber},
};
use tamarackdock_platform::Error;
use tamarackdock_types::clock::{BootClock, Clock};

use super::Service;

const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(3);
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Service {
    /// Reads the head. A failure is only logged, since the next poll reads again.
    pub(super) async fn poll_head(self: Rc<Self>) {
        if let Err(error) = self.read_head().await {
            debug!(self.log, "head poll failed"; "error" => %error);
        }
    }

    /// Reads the head, starts to read the versions after the active one, and returns the
    /// head's version.
    pub(super) async fn read_head(self: &Rc<Self>) -> Result<VersionNumber, Error> {
        let sent_at = BootClock.now();
        let mut rows = self.context.platform.table.read(vec![HEAD_KEY.into()]).await?;
        let head = rows.remove(HEAD_KEY).map(|row| serde_json::from_str::<Head>(&row.value));
        let head = head.transpose().map_err(|_| Error::Malformed)?.unwrap_or_else(Head::empty);
        let number = head.number;
        self.context.gate.with(|state| state.on_head(sent_at, number));
        self.newest_head(Some(head.clone()));
        let actions = self.propagation().on_head(&head);
        self.perform(actions, None);
        Ok(number)
    }

    /// Reads the head and waits until its version is active on this node.
    pub(super) async fn catch_up(self: &Rc<Self>) -> Result<(), Error> {
        let head = self.read_head().await?;
        let caught_up = async {
            while self.propagation().active().number() < head {
                monoio::time::sleep(CATCH_UP_POLL_INTERVAL).await;
            }
        };
        monoio::time::timeout(CATCH_UP_TIMEOUT, caught_up).await.map_err(|_| Error::Unreachable)
    }

    /// Reads the deltas of the versions after `after` up to `last` from the store's table.
    pub(super) async fn read_deltas(self: Rc<Self>, after: VersionNumber, last: VersionNumber) {
        let keys: Vec<_> =
            (after.next().0..=last.0).map(|n| version_key(VersionNumber(n))).collect();
        let rows = match self.context.platform.table.read(keys.clone()).await {
            Ok(rows) => rows,
            Err(error) => return debug!(self.log, "reading deltas failed"; "error" => %error),
        };
        let rows = keys.iter().filter_map(|key| rows.get(key));
        let deltas: Vec<Delta> =
            rows.filter_map(|row| serde_json::from_str(&row.value).ok()).collect();
        let head = self.newest_head(None);
        let actions = self.propagation().on_deltas(&head, deltas);
        self.perform(actions, None);
    }

    /// Reads a full snapshot by its checksum from the object store.
    pub(super) async fn read_copy(self: Rc<Self>, checksum: Checksum) {
        let bytes = self.context.platform.objects.get(object_name(checksum)).await;
        let bytes = bytes.ok().flatten();
        let head = self.newest_head(None);
        if head.checksum != checksum {
            // A later head has been read in the meantime, which causes a read of its own.
            return;
        }
        let actions = self.propagation().on_copy(&head, bytes.as_deref(), rand::random());
        self.perform(actions, None);
    }
}
