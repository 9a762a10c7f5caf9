use std::time::Duration;

/// Time between two reads of `config/head` by one node, which makes 210 reads/s at 420 nodes.
pub const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two rounds in which a new version is pushed to peers.
pub const PUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Number of peers to which a version is pushed in a round.
pub const PUSH_FANOUT: usize = 3;
/// Number of rounds in which a node pushes a version. Announcements reach the remaining peers.
pub const PUSH_ROUNDS: u32 = 6;
/// Time between two rounds of announcements. With [`ANNOUNCE_FANOUT`], each pair of
/// up to 13 nodes exchanges versions every 1.5 s.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of peers that receive an announcement in a round.
pub const ANNOUNCE_FANOUT: usize = 4;
/// Largest number of deltas that a node keeps for its peers and sends in one message.
pub const MAX_DELTAS: usize = 32;
