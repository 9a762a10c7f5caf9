use std::time::Duration;

use super::task::Task;
use crate::context::Context;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a task for each configured data centre. The task of a data centre
/// that is no longer configured has no targets and does nothing.
pub(crate) async fn run(context: Context) {
    while !context.leaving.is_raised() {
        let active = context.active.get();
        for centre in &active.deployment.data_centres {
            if !context.centres.entries.borrow().contains_key(&centre.name) {
                Task::spawn(&context, &centre.name);
            }
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
