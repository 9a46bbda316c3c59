//! Documents in XML, as the JSON that says the same.

use quick_xml::events::{BytesEnd, BytesStart, BytesText, Event};
use quick_xml::{Reader, Writer};
use serde_json::{Map, Value};

/// Writes a document; `@name` is the attribute `name`, `$` the text.
pub fn to_xml(document: &Value) -> Vec<u8> {
    let mut writer = Writer::new(Vec::new());
    if let Value::Object(fields) = document {
        fields.iter().for_each(|(name, value)| element(&mut writer, name, value));
    }
    writer.into_inner()
}

fn element(writer: &mut Writer<Vec<u8>>, name: &str, value: &Value) {
    let words = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    match value {
        Value::Array(values) => values.iter().for_each(|value| element(writer, name, value)),
        Value::Object(fields) => {
            let mut start = BytesStart::new(name);
            for (name, value) in fields.iter().filter(|(name, _)| name.starts_with('@')) {
                // `@enabled` is the attribute `enabled`.
                start.push_attribute((&name[1..], words(value).as_str()));
            }
            let _ = writer.write_event(Event::Start(start));
            for (name, value) in fields.iter().filter(|(name, _)| !name.starts_with('@')) {
                if name == "$" {
                    let _ = writer.write_event(Event::Text(BytesText::new(&words(value))));
                } else {
                    element(writer, name, value);
                }
            }
            let _ = writer.write_event(Event::End(BytesEnd::new(name)));
        }
        value => {
            let _ = writer.write_event(Event::Start(BytesStart::new(name)));
            let _ = writer.write_event(Event::Text(BytesText::new(&words(value))));
            let _ = writer.write_event(Event::End(BytesEnd::new(name)));
        }
    }
}

/// Reads a document; `None` if it is none.
pub fn from_xml(text: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(text).ok()?;
    let mut reader = Reader::from_str(text);
    let mut open: Vec<(String, Map<String, Value>, String)> = vec![Default::default()];
    let named = |element: &BytesStart<'_>| String::from_utf8_lossy(element.name().as_ref()).into_owned();
    loop {
        match reader.read_event().ok()? {
            Event::Start(element) => {
                let mut fields = Map::new();
                for attribute in element.attributes() {
                    let attribute = attribute.ok()?;
                    let name = format!("@{}", String::from_utf8_lossy(attribute.key.as_ref()));
                    fields.insert(name, attribute.unescape_value().ok()?.into_owned().into());
                }
                open.push((named(&element), fields, String::new()));
            }
            Event::Empty(element) => drop(open.last_mut()?.1.insert(named(&element), "".into())),
            Event::Text(part) => open.last_mut()?.2.push_str(&part.decode().ok()?),
            Event::End(_) => {
                let (name, mut fields, words) = open.pop()?;
                let value = if fields.is_empty() {
                    Value::from(words.trim())
                } else {
                    if !words.trim().is_empty() {
                        fields.insert("$".into(), words.trim().into());
                    }
                    Value::Object(fields)
                };
                open.last_mut()?.1.insert(name, value);
            }
            Event::Eof => break,
            _ => {}
        }
    }
    Some(Value::Object(open.pop()?.1))
}
