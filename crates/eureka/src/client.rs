//! Talks to one replica of a registry at a time.

use crate::model::{Document, Mapping, Notation, read};
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use flate2::read::GzDecoder;
use http_body_util::{BodyExt, Limited};
use hyper::header::{
    ACCEPT, ACCEPT_ENCODING, AUTHORIZATION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HOST,
};
use hyper::{Method, Request, StatusCode};
use maplehook::parts::body::Payload;
use maplehook::parts::buffer_memory::BufferMemory;
use maplehook::parts::connection::Connection;
use maplehook_core::connection_reuse::MIN_REST;
use std::cell::RefCell;
use std::error::Error;
use std::fmt;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// The longest document, unpacked, in bytes.
const DOCUMENT_MOST: usize = 64 << 20;

/// A longer one is read on another thread: requests do not wait for it.
const READ_HERE: usize = 256 * 1024;

/// Why a replica gave no document.
#[derive(Debug)]
pub enum Failed {
    /// It answered with this status.
    Status(StatusCode),
    /// It did not answer in time.
    Silent,
    /// It could not be reached, broke off, or what came can't be read.
    Broken(String),
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "status {status}"),
            Self::Silent => f.write_str("no answer in time"),
            Self::Broken(what) => f.write_str(what),
        }
    }
}

impl Error for Failed {}

fn broken(e: impl fmt::Display) -> Failed {
    Failed::Broken(e.to_string())
}

/// How a registry is spoken to.
#[derive(Clone, Debug, PartialEq)]
pub struct Manner {
    /// The base path, as `/eureka` or `/eureka/v2`.
    pub path: String,
    /// The notation that is asked for.
    pub notation: Notation,
    /// The longest wait for an answer.
    pub timeout: Duration,
    /// User and password, if they are asked for (RFC 7617).
    pub auth: Option<(String, String)>,
    /// Which metadata say what.
    pub mapping: Mapping,
}

impl Default for Manner {
    fn default() -> Self {
        Self {
            path: "/eureka".into(),
            notation: Notation::Json,
            timeout: Duration::from_secs(2),
            auth: None,
            mapping: Mapping::default(),
        }
    }
}

/// Memory for the heads of one connection, in bytes.
const HEAD_MEMORY_BYTES: usize = 128 * 1024;

/// A client of one replica: one connection, kept while it is of use.
pub struct Client {
    manner: Manner,
    replica: SocketAddr,
    connection: RefCell<Option<Connection>>,
    head_memory: BufferMemory,
}

impl Client {
    /// A client of this replica.
    pub fn new(manner: Manner, replica: SocketAddr) -> Self {
        let head_memory = BufferMemory::new(HEAD_MEMORY_BYTES);
        Self { manner, replica, connection: RefCell::default(), head_memory }
    }

    /// Whom it asks.
    pub fn replica(&self) -> SocketAddr {
        self.replica
    }

    /// Reads a document; `rest` comes after the base path, as `/apps`.
    pub async fn get(&self, rest: &str) -> Result<Document, Failed> {
        let (status, media_type, text) = self.send(Method::GET, rest, Bytes::new()).await?;
        if status != StatusCode::OK {
            return Err(Failed::Status(status));
        }
        let notation = media_type.map_or(self.manner.notation, |media_type| Notation::of(&media_type));
        if text.len() <= READ_HERE {
            return read(&text, notation, &self.manner.mapping).map_err(broken);
        }
        let mapping = self.manner.mapping.clone();
        let read = tokio::task::spawn_blocking(move || read(&text, notation, &mapping));
        read.await.map_err(broken)?.map_err(broken)
    }

    /// Sends what has no document for an answer: its status.
    pub async fn tell(&self, method: Method, rest: &str, body: String) -> Result<StatusCode, Failed> {
        Ok(self.send(method, rest, body.into()).await?.0)
    }

    async fn send(
        &self,
        method: Method,
        rest: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Option<String>, Vec<u8>), Failed> {
        let exchange = async {
            let before = self.connection.borrow_mut().take();
            let mut connection = match before {
                Some(connection) if !connection.is_closed() => connection,
                _ => Connection::open(self.replica, (), &self.head_memory).await.map_err(broken)?,
            };
            // A second answer to the request before must arrive while the connection is idle.
            if !connection.rest(MIN_REST).await || !connection.ready().await {
                connection = Connection::open(self.replica, (), &self.head_memory).await.map_err(broken)?;
            }
            let mut request = Request::builder()
                .method(method)
                .uri(format!("{}{rest}", self.manner.path))
                .header(HOST, self.replica.to_string())
                .header(ACCEPT, self.manner.notation.media_type())
                .header(ACCEPT_ENCODING, "gzip");
            if let Some((user, password)) = &self.manner.auth {
                let word = BASE64_STANDARD.encode(format!("{user}:{password}"));
                request = request.header(AUTHORIZATION, format!("Basic {word}"));
            }
            if !body.is_empty() {
                request = request.header(CONTENT_TYPE, "application/json").header(CONTENT_LENGTH, body.len());
            }
            let request = request.body(connection.outbound(&Payload::Buffered(body))).map_err(broken)?;
            let response = connection.send(request).await.map_err(broken)?;
            let (parts, body) = response.into_parts();
            let text = |name| parts.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
            let packed = text(CONTENT_ENCODING).is_some_and(|coding| coding.eq_ignore_ascii_case("gzip"));
            let body = Limited::new(body, DOCUMENT_MOST).collect().await.map_err(broken)?.to_bytes();
            let mut document = Vec::new();
            if packed {
                // One that unpacks to more than that ends short, and can't be read.
                let most = DOCUMENT_MOST as u64;
                GzDecoder::new(&body[..]).take(most).read_to_end(&mut document).map_err(broken)?;
            } else {
                document.extend_from_slice(&body);
            }
            connection.mark_idle();
            *self.connection.borrow_mut() = Some(connection);
            Ok((parts.status, text(CONTENT_TYPE), document))
        };
        timeout(self.manner.timeout, exchange).await.unwrap_or(Err(Failed::Silent))
    }
}
