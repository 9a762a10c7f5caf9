//! Settings that may be left out.

use std::time::Duration;

use crate::settings::{Settings, SettingsError};

fn parse(limits: &str) -> Result<Settings, SettingsError> {
    let text = format!(
        r#"{{"host": "h", "data_centre": "d", "store": "127.0.0.1:1", "orders": null,
        "listen": {{"callers": "127.0.0.1:2", "health": "127.0.0.1:3", "peers": "127.0.0.1:4",
                    "metrics": "127.0.0.1:5"}},
        "bounds": {{"strict_keys": true, "withdrawn_key_ms": 1, "stop_s": 1, "lease_ms": 1,
                    "usage_window_s": 1, "keep_results_s": 1}},
        "limits": {{"memory_mb": 120, "row_bytes": 65536{limits}}}}}"#
    );
    Settings::parse("test", &text)
}

/// Guards against settings of earlier deployments, and of platforms without a limit of
/// descriptors, that are rejected.
#[test]
fn limits_of_callers_may_be_left_out() {
    for limits in ["", r#", "descriptors": null"#] {
        let limits = parse(limits).unwrap().limits;
        assert_eq!((limits.descriptors, limits.unread), (None, Duration::from_secs(30)));
    }
    let limits = parse(r#", "descriptors": 3075, "unread_s": 0.5"#).unwrap().limits;
    assert_eq!((limits.descriptors, limits.unread), (Some(3075), Duration::from_millis(500)));
}

/// Guards against a process that closes all connections because of a limit of zero.
#[test]
fn limits_of_zero_are_rejected() {
    assert!(parse(r#", "unread_s": 0"#).unwrap_err().to_string().contains("limits.unread_s"));
    assert!(parse(r#", "unread_s": -1"#).is_err());
}
