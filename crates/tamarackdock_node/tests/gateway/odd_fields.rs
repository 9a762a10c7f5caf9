//! Answers with a header field that HTTP does not allow, in heads that are otherwise sound.

use platform_standin::script::{Answer, End};

use crate::truncated_answers::{check_answers, check_items, start};

/// Lines whose name of a field is none: with a blank or a control byte, empty, or not ended.
const NAMES: [&str; 26] = [
    "X Y: 1",
    "X\tY: 1",
    " X: 1",
    "\tX: 1",
    "X : 1",
    "X\t: 1",
    "X\0: 1",
    "\0X: 1",
    "X\x01Y: 1",
    "X\x07: 1",
    "X\x08: 1",
    "X\x0b: 1",
    "X\x0c: 1",
    "X\x1bY: 1",
    "X\x1f: 1",
    "X\x7f: 1",
    "\x7fX: 1",
    "X\rY: 1",
    "\u{e9}: 1",
    "\nX: 1",
    "X\nY: 1",
    ": 1",
    "X",
    "Content-Length : 3",
    "Content-Length\x01: 3",
    "Transfer-Encoding : chunked",
];
/// Lines whose value is none of the field.
const VALUES: [&str; 10] = [
    "X: a\0b",
    "X: a\rb",
    "X: a\nY: b",
    "X: a\x01b",
    "X: a\x1bb",
    "X: a\x7fb",
    "Content-Length: 1 8",
    "Content-Length: +18",
    "Content-Length: 0x12",
    "Transfer-Encoding: gzip",
];

/// Returns answers with these lines, first or last in the head, whose body is the whole text of a
/// stream with a length, by name.
fn odd(lines: &[&'static str]) -> Vec<(String, Answer)> {
    let answer = |(number, line): (usize, &&str)| {
        let sound = "{signed}Content-Type: text/event-stream\r\nContent-Length: 18\r\n";
        [("first", format!("{line}\r\n{sound}")), ("last", format!("{sound}{line}\r\n"))].map(
            |(place, fields)| {
                let text = format!("HTTP/1.1 200 OK\r\n{fields}\r\nid: 1\ndata: odd\n\n\n");
                (format!("{place}-{number}"), Answer::text(text.leak(), End::Keep))
            },
        )
    };
    lines.iter().enumerate().flat_map(answer).collect()
}

/// Guards against a client that gets such an answer: as one, with the line or another body, or as
/// the begin of a stream.
#[test]
fn odd_fields_reach_no_client() {
    let (cluster, script) = start("odd-fields", false);
    check_answers("name", &cluster, &script, &odd(&NAMES), &[502]);
    check_answers("value", &cluster, &script, &odd(&VALUES), &[502]);
}

/// Guards against the same where another node forwards the requests.
#[test]
fn odd_fields_through_another_node_reach_no_client() {
    let (cluster, script) = start("odd-fields-forwarded", true);
    check_answers("name", &cluster, &script, &odd(&NAMES), &[502]);
    check_answers("value", &cluster, &script, &odd(&VALUES), &[502]);
}

/// Guards against items whose text or score comes from such an answer.
#[test]
fn odd_fields_complete_no_item() {
    let (cluster, script) = start("odd-fields-items", false);
    check_items("odd", &cluster, &script, &[odd(&NAMES), odd(&VALUES)].concat());
}
