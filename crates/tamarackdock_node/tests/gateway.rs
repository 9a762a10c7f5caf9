//! Runs the real program as separate processes between fakes of the platform.

#[path = "gateway/adaptive.rs"]
mod adaptive;
#[path = "gateway/broken_streams.rs"]
mod broken_streams;
#[path = "gateway/cluster.rs"]
mod cluster;
#[path = "gateway/configurations.rs"]
mod configurations;
#[path = "gateway/cut_hosts.rs"]
mod cut_hosts;
#[path = "gateway/early_answers.rs"]
mod early_answers;
#[path = "gateway/ended_jobs.rs"]
mod ended_jobs;
#[path = "gateway/endless.rs"]
mod endless;
#[path = "gateway/explain.rs"]
mod explain;
#[path = "gateway/limits.rs"]
mod limits;
#[path = "gateway/odd_entries.rs"]
mod odd_entries;
#[path = "gateway/odd_fields.rs"]
mod odd_fields;
#[path = "gateway/odd_statuses.rs"]
mod odd_statuses;
#[path = "gateway/outlook.rs"]
mod outlook;
#[path = "gateway/ownership.rs"]
mod ownership;
#[path = "gateway/parts.rs"]
mod parts;
#[path = "gateway/public_jobs.rs"]
mod public_jobs;
#[path = "gateway/releases.rs"]
mod releases;
#[path = "gateway/removal.rs"]
mod removal;
#[path = "gateway/replaced_hosts.rs"]
mod replaced_hosts;
#[path = "gateway/restart.rs"]
mod restart;
#[path = "gateway/silent_polls.rs"]
mod silent_polls;
#[path = "gateway/single_faults.rs"]
mod single_faults;
#[path = "gateway/soak.rs"]
mod soak;
#[path = "gateway/software.rs"]
mod software;
#[path = "gateway/stop.rs"]
mod stop;
#[path = "gateway/stop_jobs.rs"]
mod stop_jobs;
#[path = "gateway/stop_traffic.rs"]
mod stop_traffic;
#[path = "gateway/truncated_answers.rs"]
mod truncated_answers;
#[path = "gateway/unfit_requests.rs"]
mod unfit_requests;
