use std::time::Duration;

/// Time between two reads of `config/head` by one node: 210 reads/s at 420 nodes.
pub const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two rounds in which a new version is pushed to peers.
pub const PUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Peers that a version is pushed to in a round.
pub const PUSH_FANOUT: usize = 3;
/// Rounds after which a node stops to push a version; announcements reach the rest.
pub const PUSH_ROUNDS: u32 = 6;
/// Time between two rounds of announcements. With [`ANNOUNCE_FANOUT`], each pair of
/// up to 13 nodes exchanges versions every 1.5 s.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Peers that get an announcement in a round.
pub const ANNOUNCE_FANOUT: usize = 4;
/// Deltas that a node keeps for its peers and sends in one message.
pub const MAX_DELTAS: usize = 32;
