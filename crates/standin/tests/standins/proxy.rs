use assert_matches::assert_matches;
use std::time::Duration;

use standin::{plain::PlainService, proxy::Proxy};
use tamarackdock_wire::client::{Connection, Error, Timeouts};

use super::support::{call, request, run, wait_until};

async fn connect(proxy: &Proxy) -> Connection {
    Connection::open(proxy.address(), tamarackdock_wire::validation::Limits::default(), timeouts())
        .await
        .unwrap()
}

/// Timeouts that only a silence of the proxy exceeds.
fn timeouts() -> Timeouts {
    let between_bytes = Duration::from_millis(300);
    Timeouts { between_bytes, ..Timeouts::default() }
}

async fn get(connection: &mut Connection) -> Result<bytes::Bytes, Error> {
    connection.send(request("GET", "/x", "")).await?.read_to_end().await
}

/// Guards against a cut that doesn't close open connections, and against a proxy that
/// refuses connections after the cut has ended.
#[test]
fn cut_breaks_open_and_new_connections() {
    run(async {
        let service = PlainService::spawn("plain").unwrap();
        let proxy = Proxy::spawn(service.address()).unwrap();
        let mut open = connect(&proxy).await;
        get(&mut open).await.unwrap();
        proxy.faults().cut_off = true;
        wait_until("the connection is closed", || proxy.counts().open_connections == 0).await;
        // If the close has arrived before the call, the client notices it before it sends.
        assert_matches!(get(&mut open).await, Err(Error::ClosedBeforeSend | Error::ConnectionLost));
        assert!(call(proxy.address(), request("GET", "/x", "")).await.is_err());
        assert_eq!(service.state().calls, 1);
        proxy.faults().cut_off = false;
        assert!(call(proxy.address(), request("GET", "/x", "")).await.is_ok());
    });
}

/// Guards against a lost response whose request does not reach the target.
#[test]
fn lost_response_passes_the_request() {
    run(async {
        let service = PlainService::spawn("plain").unwrap();
        let proxy = Proxy::spawn(service.address()).unwrap();
        proxy.faults().lose_responses = true;
        let lost = call(proxy.address(), request("GET", "/x", "")).await;
        assert_eq!(lost.unwrap_err(), Error::ConnectionLost);
        assert_eq!(service.state().calls, 1);
        assert_eq!(proxy.counts().bytes_to_caller, 0);
        assert!(proxy.counts().bytes_withheld > 0);
    });
}

/// Guards against a silence that closes the connection or passes more bytes than it was
/// set to, and against one that doesn't end when it is switched off.
#[test]
fn silence_keeps_connections_open() {
    run(async {
        let service = PlainService::spawn("plain").unwrap();
        let proxy = Proxy::spawn(service.address()).unwrap();
        proxy.faults().silent_after = Some(100);
        let mut partial = connect(&proxy).await;
        assert_eq!(get(&mut partial).await, Err(Error::TimedOut));
        assert_eq!(proxy.counts().bytes_to_caller, 100);
        assert_eq!(proxy.counts().open_connections, 1);
        proxy.faults().silent_after = None;
        proxy.faults().silent = true;
        let before = service.state().calls;
        let waiting = monoio::spawn(call(proxy.address(), request("GET", "/x", "")));
        wait_until("the second connection is open", || proxy.counts().connections == 2).await;
        assert_eq!(service.state().calls, before);
        proxy.faults().silent = false;
        assert!(waiting.await.is_ok());
    });
}

/// Guards against a delay that is not applied to both directions.
#[test]
fn delay_acts_in_both_directions() {
    run(async {
        let service = PlainService::spawn("plain").unwrap();
        let proxy = Proxy::spawn(service.address()).unwrap();
        proxy.faults().delay = Duration::from_millis(50);
        let begin = std::time::Instant::now();
        call(proxy.address(), request("GET", "/x", "")).await.unwrap();
        assert!(begin.elapsed() >= Duration::from_millis(100));
    });
}
