//! Answers whose status is none of HTTP, in heads that are otherwise sound.

use platform_standin::script::{Answer, End};

use crate::truncated_answers::{check_answers, check_items, start};

/// Status lines without a status from 100 to 599, each with and without a reason phrase.
const STATUS_LINES: [&str; 16] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 000",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 099 ",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 600",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 999",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 20",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 2000",
    "HTTP/1.1 -01 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1  OK",
];

/// Returns answers with these status lines, whose body is the whole text of a stream with a
/// length, by name.
fn odd() -> Vec<(String, Answer)> {
    let answer = |(number, line): (usize, &&str)| {
        let text = format!(
            "{line}\r\n{{signed}}Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\n\
             id: 1\ndata: odd\n\n\n"
        );
        (format!("status-{number}"), Answer::text(text.leak(), End::Keep))
    };
    STATUS_LINES.iter().enumerate().map(answer).collect()
}

/// Guards against a client that gets such an answer: as one, as the begin of a stream, or as the
/// body of a success.
#[test]
fn odd_statuses_reach_no_client() {
    let (cluster, script) = start("odd-statuses", false);
    check_answers("odd", &cluster, &script, &odd(), &[502]);
}

/// Guards against the same where another node forwards the requests.
#[test]
fn odd_statuses_through_another_node_reach_no_client() {
    let (cluster, script) = start("odd-statuses-forwarded", true);
    check_answers("odd", &cluster, &script, &odd(), &[502]);
}

/// Guards against items whose text or score comes from such an answer.
#[test]
fn odd_statuses_complete_no_item() {
    let (cluster, script) = start("odd-statuses-items", false);
    check_items("odd", &cluster, &script, &odd());
}
