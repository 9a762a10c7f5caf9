//! Hosts that leave by the platform's announcement.

use tamarackdock_membership::{Content, Entry, Host, Membership, Message, Peer};
use tamarackdock_types::{DataCentreName, HostName, clock::Instant};

fn peer(name: &str) -> Peer {
    Peer {
        host: HostName::new(name).unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: DataCentreName::new("x").unwrap(),
    }
}

/// Guards against a host that gets new work although the platform has announced that it leaves,
/// because its own newer status does not say so.
#[test]
fn a_host_that_the_platform_removes_stays_leaving() {
    let now = Instant::from_millis(0);
    let mut membership = Membership::new(peer("a"), now);
    let listed = |leaving| vec![Host { peer: peer("b"), leaving }];
    membership.set_hosts(now, listed(true));
    let mut sender = Entry::new(peer("b"), false);
    sender.status.incarnation = 7;
    let message = Message { content: Content::Answer(1), sender, digest: Vec::new() };
    membership.receive(now, message, 0);
    assert!(membership.is_leaving(&peer("b").host));
    assert_eq!(membership.choose(0), None);
    // The platform can change its mind, and a process that starts again is not leaving.
    membership.set_hosts(now, listed(false));
    let mut sender = Entry::new(peer("b"), false);
    sender.status.incarnation = 8;
    let message = Message { content: Content::Answer(1), sender, digest: Vec::new() };
    membership.receive(now, message, 0);
    assert!(!membership.is_leaving(&peer("b").host));
}
