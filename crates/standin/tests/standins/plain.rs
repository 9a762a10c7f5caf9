use std::time::Duration;

use serde_json::{Value, json};
use standin::plain::PlainService;
use tamarackdock_wire::client::{Error, Timeouts};

use super::support::{call, pool, request, run, wait_until};

fn post(id: &str) -> http::Request<bytes::Bytes> {
    let mut request = request("POST", "/a/b?c=d", "body");
    request.headers_mut().insert("x-call-id", id.parse().unwrap());
    request
}

/// Guards against an echo that lacks a part of the request, and against repeated calls
/// that are not counted.
#[test]
fn echo_counts_repeated_calls() {
    run(async {
        let service = PlainService::spawn("plain").unwrap();
        for id in ["one", "two", "one"] {
            let echo = call(service.address(), post(id)).await.unwrap();
            let value: Value = serde_json::from_slice(&echo.body).unwrap();
            assert_eq!(value, json!({"method": "POST", "path": "/a/b?c=d", "body": "body"}));
        }
        assert_eq!(service.state().repeated(), ["one"]);
        assert_eq!(service.state().calls, 3);
    });
}

/// Guards against faults that have no effect when they are switched on, and against a
/// call that ran and failed, or whose response was lost, but is not counted.
#[test]
fn faults_fail_lose_delay_and_refuse() {
    run(async {
        let service = PlainService::spawn("plain").unwrap();
        service.state().fail_next = 1;
        assert_eq!(call(service.address(), post("a")).await.unwrap().status, 500);
        service.state().lose_next = 1;
        assert_eq!(call(service.address(), post("b")).await.unwrap_err(), Error::ConnectionLost);
        assert_eq!(call(service.address(), post("b")).await.unwrap().status, 200);
        assert_eq!(service.state().repeated(), ["b"]);
        service.state().delay = Duration::from_hours(1);
        let first_byte = Duration::from_millis(100);
        let timeouts = Timeouts { first_byte, ..Timeouts::default() };
        let late = pool().call(service.address(), post("c"), timeouts).await;
        assert_eq!(late.unwrap_err(), Error::TimedOut);
        service.set_down(true);
        wait_until("connections are refused", || {
            std::net::TcpStream::connect(service.address()).is_err()
        })
        .await;
    });
}
