use super::sse::Parser;

fn events(text: &str, part_bytes: usize) -> Vec<String> {
    let mut parser = Parser::default();
    let mut events = Vec::new();
    for part in text.as_bytes().chunks(part_bytes) {
        parser.feed(part);
        while let Some(data) = parser.next() {
            events.push(String::from_utf8(data.to_vec()).unwrap());
        }
    }
    events
}

/// Guards against an engine whose streams count as broken because it ends lines with CRLF, names
/// other fields first or splits its data over lines.
#[test]
fn events_are_found_in_all_forms_of_the_standard() {
    let forms = [
        "data: a\n\ndata:b\n\n",
        "data: a\r\n\r\ndata: b\r\n\r\n",
        "id: 1\ndata: a\n\nevent: token\r\ndata: b\r\n\r\n",
        ": a comment\n\ndata: a\n\n\n\ndata: b\n\n",
    ];
    for text in forms {
        for part_bytes in 1..=text.len() {
            assert_eq!(events(text, part_bytes), ["a", "b"], "{text:?}, {part_bytes} bytes");
        }
    }
    assert_eq!(events("data: a\ndata: b\n\n", 3), ["a\nb"]);
    assert_eq!(events("data: a\n", 3), Vec::<String>::new());
}
