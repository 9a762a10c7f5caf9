use std::time::Duration;

use super::task::Task;
use crate::context::Context;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a task for each configured data centre. The task of a data centre that
/// is removed from the configuration keeps running without targets.
pub(crate) async fn run(context: Context) {
    while !context.leaving.is_set() {
        let active = context.active.get();
        for data_centre in &active.deployment.data_centres {
            if !context.data_centres.entries.borrow().contains_key(&data_centre.name) {
                Task::spawn(&context, &data_centre.name);
            }
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
