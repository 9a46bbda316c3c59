//! A document of the registry as a tree, whichever notation it came in.
//!
//! Real servers write one thing in many ways: one element as an object or as an array of one, numbers and booleans as
//! texts, `{"$": 7001, "@enabled": "true"}` where XML has an attribute. Here both notations become the same tree: an
//! attribute is a child with `@` before its name, and the text beside attributes is the child `$`.

use quick_xml::Reader;
use quick_xml::events::{BytesRef, BytesStart, Event};
use serde_json::Value;
use std::fmt;

/// How deep a document may go.
const DEPTH_MOST: usize = 32;

/// A node: a text, or children by name, of which several may have one name.
#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    /// A text; numbers and booleans too.
    Text(String),
    /// Children.
    Children(Vec<(String, Node)>),
}

/// Why a text is no document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TreeError(String);

impl TreeError {
    pub(crate) fn new(what: &str) -> Self {
        Self(what.to_owned())
    }
}

impl fmt::Display for TreeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for TreeError {}

impl Node {
    /// All children of a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Self> {
        let children = match self {
            Self::Children(children) => children.as_slice(),
            Self::Text(_) => &[],
        };
        children.iter().filter(move |(n, _)| n == name).map(|(_, node)| node)
    }

    /// The first child of a name.
    pub fn child(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Children(children) => children.iter().find(|(n, _)| n == name).map(|(_, node)| node),
            Self::Text(_) => None,
        }
    }

    /// Its text; that of an element with attributes too.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text.trim()),
            Self::Children(_) => match self.child("$")? {
                Self::Text(text) => Some(text.trim()),
                Self::Children(_) => None,
            },
        }
    }

    /// The text of the first child of a name.
    pub fn text_of(&self, name: &str) -> Option<&str> {
        self.child(name)?.text()
    }

    /// Its children, by name.
    pub fn children(&self) -> &[(String, Self)] {
        match self {
            Self::Children(children) => children,
            Self::Text(_) => &[],
        }
    }

    /// Reads JSON.
    pub fn from_json(text: &[u8]) -> Result<Self, TreeError> {
        let value: Value = serde_json::from_slice(text).map_err(|e| TreeError(format!("JSON: {e}")))?;
        let mut children = Vec::new();
        of_json(String::new(), value, &mut children, 0)?;
        match children.pop() {
            Some((_, node)) if children.is_empty() => Ok(node),
            _ => Err(TreeError("JSON: no object".into())),
        }
    }

    /// Reads XML; the root element's name is lost, as JSON's is kept: it becomes a child.
    pub fn from_xml(text: &[u8]) -> Result<Self, TreeError> {
        let wrong = |e: &dyn fmt::Display| TreeError(format!("XML: {e}"));
        let text = std::str::from_utf8(text).map_err(|e| wrong(&e))?;
        let mut reader = Reader::from_str(text);
        reader.config_mut().check_end_names = true;
        let mut open: Vec<Open> = vec![Default::default()];
        loop {
            let event = reader.read_event().map_err(|e| wrong(&e))?;
            match event {
                Event::Start(element) => {
                    if open.len() > DEPTH_MOST {
                        return Err(TreeError("XML: too deep".into()));
                    }
                    open.push((name(&element), attributes(&element)?, String::new()));
                }
                Event::Empty(element) => {
                    let node = closed(attributes(&element)?, String::new());
                    if let Some((_, children, _)) = open.last_mut() {
                        children.push((name(&element), node));
                    }
                }
                Event::Text(part) => {
                    if let Some((_, _, all)) = open.last_mut() {
                        all.push_str(&part.decode().map_err(|e| wrong(&e))?);
                    }
                }
                Event::CData(part) => {
                    if let Some((_, _, all)) = open.last_mut() {
                        all.push_str(&part.decode().map_err(|e| wrong(&e))?);
                    }
                }
                Event::GeneralRef(part) => {
                    let read = entity(&part).ok_or_else(|| TreeError("XML: an unknown entity".into()))?;
                    if let Some((_, _, all)) = open.last_mut() {
                        all.push(read);
                    }
                }
                Event::End(_) => {
                    let Some((name, children, text)) = open.pop() else { break };
                    let Some((_, parent, _)) = open.last_mut() else {
                        return Err(TreeError("XML: an end too many".into()));
                    };
                    parent.push((name, closed(children, text)));
                }
                Event::Eof => break,
                Event::Decl(_) | Event::Comment(_) | Event::PI(_) | Event::DocType(_) => {}
            }
        }
        match open.pop() {
            Some((_, children, _)) if open.is_empty() && !children.is_empty() => Ok(Self::Children(children)),
            _ => Err(TreeError("XML: it ends half way".into())),
        }
    }
}

/// An element that is open: its name, its children, its text.
type Open = (String, Vec<(String, Node)>, String);

fn entity(part: &BytesRef<'_>) -> Option<char> {
    if let Ok(Some(read)) = part.resolve_char_ref() {
        return Some(read);
    }
    match &**part {
        b"lt" => Some('<'),
        b"gt" => Some('>'),
        b"amp" => Some('&'),
        b"apos" => Some('\''),
        b"quot" => Some('"'),
        _ => None,
    }
}

fn name(element: &BytesStart<'_>) -> String {
    String::from_utf8_lossy(element.local_name().as_ref()).into_owned()
}

fn attributes(element: &BytesStart<'_>) -> Result<Vec<(String, Node)>, TreeError> {
    let attributes = element.attributes().map(|attribute| {
        let attribute = attribute.map_err(|e| TreeError(format!("XML: {e}")))?;
        let value = attribute.unescape_value().map_err(|e| TreeError(format!("XML: {e}")))?;
        let name = String::from_utf8_lossy(attribute.key.local_name().as_ref()).into_owned();
        Ok((format!("@{name}"), Node::Text(value.into_owned())))
    });
    attributes.collect()
}

fn closed(mut children: Vec<(String, Node)>, text: String) -> Node {
    if children.is_empty() {
        return Node::Text(text);
    }
    if !text.trim().is_empty() {
        children.push(("$".into(), Node::Text(text)));
    }
    Node::Children(children)
}

fn of_json(
    name: String,
    value: Value,
    into: &mut Vec<(String, Node)>,
    depth: usize,
) -> Result<(), TreeError> {
    if depth > DEPTH_MOST {
        return Err(TreeError("JSON: too deep".into()));
    }
    let node = match value {
        Value::Null => return Ok(()),
        Value::Array(values) => {
            for value in values {
                of_json(name.clone(), value, into, depth + 1)?;
            }
            return Ok(());
        }
        Value::Object(fields) => {
            let mut children = Vec::with_capacity(fields.len());
            for (name, value) in fields {
                of_json(name, value, &mut children, depth + 1)?;
            }
            Node::Children(children)
        }
        Value::String(text) => Node::Text(text),
        Value::Bool(value) => Node::Text(value.to_string()),
        Value::Number(number) => Node::Text(number.to_string()),
    };
    into.push((name, node));
    Ok(())
}
