//! Parses and validates clients' requests, and tracks the ids of the open ones.

use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Version};
use maplehook::label::Label;
use maplehook::ledger::Identity;
use maplehook::parts::attempt::OutboundRequest;
use maplehook::parts::body::{Fault, Upload, receive_body};
use maplehook::parts::buffer_memory::BufferMemory;
use maplehook::parts::driver::RequestContext;
use maplehook_admission::address::{Network, NetworkSet};
use maplehook_admission::token::TokenSigner;
use maplehook_config::Proxy;
use maplehook_core::TenantId;
use maplehook_http_semantics::{Fit, Forwarding, Passage, Peer, Rules, Unfit};
use maplehook_platform_settings::ActiveSettings;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Time subtracted from a client's deadline for the network in both directions and the timers.
const DEADLINE_MARGIN: Duration = Duration::from_millis(4);

/// Header with the active settings version, added to forwarded requests and to responses.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("x-maplehook-version");

/// Response to a request for which there is no memory; it permits a retry.
pub const OUT_OF_MEMORY: Unfit =
    Unfit::new(StatusCode::SERVICE_UNAVAILABLE, "no memory left for the request");

/// Ids of the requests whose responses are pending. Clients choose them, so the set uses a randomly seeded
/// hasher. An id has memory of its own: a header's value is a part of the buffer that the head was read into, which
/// would stay as long as a long answer.
type OpenRequestIds = Rc<RefCell<HashSet<Rc<[u8]>>>>;

/// The id of an open request. Dropping the value releases the id; until then no other request may use it.
pub struct OpenRequestId {
    ids: OpenRequestIds,
    id: Rc<[u8]>,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// A valid request head, with the rules it was parsed by.
pub struct RequestHead {
    parsed: Fit,
    parts: Parts,
    rules: Rc<RequestRules>,
    /// True if the request identifies its client as known.
    pub is_authenticated: bool,
}

impl RequestHead {
    /// Returns the tenant of the request.
    pub fn tenant(&self) -> TenantId {
        self.parsed.tenant
    }
}

/// A valid request that may be forwarded.
pub struct ReadyRequest {
    /// Request to pass to the dispatcher.
    pub request: RequestContext,
    /// Identity by which repeats of the request are recognized; `None` if repeats are not.
    pub identity: Option<Identity>,
    /// Progress of a streaming request body; `None` if the body is complete.
    pub upload: Option<Rc<Upload>>,
    /// Keeps the request id reserved until it is dropped.
    pub open_id: Option<OpenRequestId>,
    /// Settings version that the request was parsed under, if versions are reported.
    pub version: Option<HeaderValue>,
}

/// Ways for a request to identify its client as known.
#[derive(Default)]
pub struct ClientAuthentication {
    /// Tenants whose requests count as authenticated by the tenant header alone.
    pub trusted_tenants: Vec<String>,
    /// Header that carries a signed token, and the signer that verifies it.
    pub token: Option<(HeaderName, TokenSigner)>,
}

impl ClientAuthentication {
    fn is_authenticated(&self, tenant: Option<&str>, headers: &HeaderMap) -> bool {
        let has_valid_token = || {
            let (name, signer) = self.token.as_ref()?;
            let token = headers.get(name)?.to_str().ok()?;
            let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
            let signed_tenant = signer
                .verify(token, now.as_secs())
                .map_err(|e| tracing::debug!("rejected client token: {e}"));
            signed_tenant.ok().map(|signed| Some(signed) == tenant)
        };
        tenant.is_some_and(|name| self.trusted_tenants.iter().any(|trusted| trusted == name))
            || has_valid_token() == Some(true)
    }
}

/// The rules for requests. Each request is processed by the rules that were active when its head was
/// received.
struct RequestRules {
    classifier: Rules,
    passages: Vec<Rc<Passage>>,
    /// Networks whose clients' requests are rejected.
    rejected_networks: NetworkSet,
    /// Active settings version, if versions are reported.
    version: Option<HeaderValue>,
}

impl RequestRules {
    fn platform(settings: &ActiveSettings, previous: Option<&Rules>) -> Self {
        let classes = settings.classes().map(|(id, name, class)| (id, name, class.effect, class.deadline));
        let passage = Rc::new(Passage::platform());
        Self {
            classifier: Rules::platform(classes, settings.tenants(), previous),
            // Indexed by class id, including the ids of removed classes.
            passages: vec![passage; settings.current().settings.classes.len()],
            rejected_networks: NetworkSet::default(),
            version: None,
        }
    }
}

/// Parses requests by the active rules.
pub struct RequestReader {
    rules: RefCell<Rc<RequestRules>>,
    /// True if all requests are rejected.
    rejects_all: Cell<bool>,
    forwarding: Forwarding,
    trusted_proxies: Vec<Network>,
    buffer_memory: BufferMemory,
    open_ids: OpenRequestIds,
    authentication: ClientAuthentication,
}

impl RequestReader {
    /// Creates a reader with the platform's settings.
    pub fn platform(
        settings: &ActiveSettings,
        authentication: ClientAuthentication,
        buffer_memory: BufferMemory,
    ) -> Self {
        Self {
            rules: RefCell::new(Rc::new(RequestRules::platform(settings, None))),
            rejects_all: Cell::new(false),
            forwarding: Forwarding::platform(),
            trusted_proxies: Vec::new(),
            buffer_memory,
            open_ids: OpenRequestIds::default(),
            authentication,
        }
    }

    /// Creates a reader for the requests that the balancer's configuration file describes.
    pub fn from_file(
        proxy: &Proxy,
        trusted_proxies: Vec<Network>,
        authentication: ClientAuthentication,
        buffer_memory: BufferMemory,
    ) -> Self {
        Self {
            rules: RefCell::new(Rc::new(RequestRules {
                classifier: proxy.rules(),
                passages: proxy.passages.iter().cloned().map(Rc::new).collect(),
                rejected_networks: proxy.clients.refused.clone(),
                version: None,
            })),
            rejects_all: Cell::new(false),
            forwarding: proxy.forwarding.clone(),
            trusted_proxies,
            buffer_memory,
            open_ids: OpenRequestIds::default(),
            authentication,
        }
    }

    /// Returns true for the platform's requests, which are parsed strictly: an invalid one closes the
    /// connection.
    pub fn is_strict(&self) -> bool {
        self.rules.borrow().classifier.is_strict()
    }

    /// Applies changed platform settings.
    pub fn update_settings(&self, settings: &ActiveSettings) {
        let previous = Rc::clone(&self.rules.borrow());
        *self.rules.borrow_mut() = Rc::new(RequestRules::platform(settings, Some(&previous.classifier)));
    }

    /// Activates another version. Requests whose heads were already parsed keep the rules of their version.
    pub fn replace_rules(
        &self,
        classifier: Rules,
        passages: Vec<Passage>,
        rejected_networks: NetworkSet,
        version: Option<&str>,
    ) {
        let version = version.and_then(|version| HeaderValue::from_str(version).ok());
        let passages = passages.into_iter().map(Rc::new).collect();
        *self.rules.borrow_mut() = Rc::new(RequestRules { classifier, passages, rejected_networks, version });
    }

    /// Sets whether all requests are rejected.
    pub fn set_reject_all(&self, rejects_all: bool) {
        self.rejects_all.set(rejects_all);
    }

    /// Returns the active settings version, if versions are reported.
    pub fn version(&self) -> Option<HeaderValue> {
        self.rules.borrow().version.clone()
    }

    /// Returns the label of a request: the id that the client sent in its headers.
    pub fn request_label(&self, headers: &HeaderMap) -> Label {
        headers.get(&self.rules.borrow().classifier.headers().id).map(Label::from).unwrap_or_default()
    }

    /// Parses a request head from the client at `peer`. `has_hidden_length`: the received bytes have a
    /// `Content-Length` that the parsed headers lack.
    pub fn parse_head(
        &self,
        mut parts: Parts,
        peer: IpAddr,
        has_hidden_length: bool,
    ) -> Result<RequestHead, Unfit> {
        let bad_request = |reason| Unfit::new(StatusCode::BAD_REQUEST, reason);
        if self.rejects_all.get() {
            return Err(Unfit::new(StatusCode::SERVICE_UNAVAILABLE, "no word from the other balancers"));
        }
        let rules = Rc::clone(&self.rules.borrow());
        if rules.rejected_networks.contains(peer) {
            return Err(Unfit::new(StatusCode::FORBIDDEN, "this client is refused"));
        }
        let headers = &mut parts.headers;
        // Two lengths allow request smuggling: the balancer and an upstream could disagree about where the
        // body ends.
        if has_hidden_length && headers.contains_key(TRANSFER_ENCODING) {
            return Err(bad_request("Content-Length beside Transfer-Encoding").closing());
        }
        if !rules.classifier.is_strict() {
            // RFC 9112, section 3.2: a request has exactly one Host header, which only HTTP/1.0 may omit.
            match headers.get_all(HOST).iter().count() {
                1 => {}
                0 if parts.version == Version::HTTP_10 => {
                    headers.insert(HOST, HeaderValue::from_static(""));
                }
                _ => return Err(bad_request("not one Host")),
            }
            if parts.method == Method::CONNECT {
                return Err(Unfit::new(StatusCode::NOT_IMPLEMENTED, "no tunnels are made"));
            }
        }
        let parsed = rules.classifier.read(&parts.method, &parts.uri, &parts.headers)?;
        let tenant =
            parts.headers.get(&rules.classifier.headers().tenant).and_then(|name| name.to_str().ok());
        let is_authenticated = self.authentication.is_authenticated(tenant, &parts.headers);
        Ok(RequestHead { parsed, parts, is_authenticated, rules })
    }

    /// Reads the body of a request, unless the body streams, and reserves the request's id. `completed_at`
    /// returns when the last byte of the request was received; called after the body was read.
    pub async fn read_body(
        &self,
        head: RequestHead,
        body: Incoming,
        peer: IpAddr,
        completed_at: impl FnOnce() -> Option<Instant>,
    ) -> Result<ReadyRequest, Unfit> {
        let RequestHead { parsed, parts, rules, .. } = head;
        let passage = &rules.passages[usize::from(parsed.class.0)];
        let wait = parsed.wait.saturating_sub(DEADLINE_MARGIN);
        let body =
            receive_body(body, passage, &self.buffer_memory, wait).await.map_err(body_fault_response)?;
        let is_strict = rules.classifier.is_strict();
        if is_strict && parts.method == Method::GET && !body.is_empty() {
            return Err(Unfit::new(StatusCode::BAD_REQUEST, "a GET with a body"));
        }
        let open_id = match &parsed.id {
            Some(id) if is_strict => Some(self.claim_id(id)?),
            _ => None,
        };
        let mut headers = parts.headers;
        if parsed.id.is_none() {
            rules.classifier.mint(&mut headers, fastrand::u128(..));
        }
        let trusted = self.trusted_proxies.iter().any(|network| network.contains(peer));
        let peer = Peer { address: peer, trusted, tls: false };
        self.forwarding
            .request(&mut headers, &parts.uri, Some(peer))
            .map_err(|reason| Unfit::new(StatusCode::BAD_REQUEST, reason))?;
        if let Some(version) = &rules.version {
            headers.insert(VERSION_HEADER, version.clone());
        }
        if let Some((name, _)) = &self.authentication.token {
            // The token authenticates the client to the balancer only.
            headers.remove(name);
        }
        let target = parts.uri.path_and_query().map(|p| hyper::Uri::from(p.clone())).unwrap_or_default();
        let upload = body.upload();
        // A request's deadline counts from its last byte, so slow senders get the full time, and the time
        // that a pipelined request waits behind another one counts.
        let (started_at, streaming_time) = match upload {
            Some(_) => (None, passage.patience().1),
            None => (completed_at(), Duration::ZERO),
        };
        let deadline = started_at.unwrap_or_else(Instant::now) + wait + streaming_time;
        let identity = parsed.identity().filter(|_| !is_strict);
        let identity = identity.map(|id| Identity { tenant: parsed.tenant.0, id });
        let outgoing =
            OutboundRequest { method: parts.method, target, headers, body, passage: Rc::clone(passage) };
        let Fit { class, tenant, work_ms, repeat, .. } = parsed;
        // The connection's task fills these in.
        let (label, presence) = (Label::default(), None);
        let request = RequestContext { class, tenant, deadline, work_ms, repeat, outgoing, label, presence };
        Ok(ReadyRequest { request, identity, upload, open_id, version: rules.version.clone() })
    }

    fn claim_id(&self, id: &HeaderValue) -> Result<OpenRequestId, Unfit> {
        // An upstream could take one of the two requests for a repeat of the other.
        let id: Rc<[u8]> = id.as_bytes().into();
        if !self.open_ids.borrow_mut().insert(Rc::clone(&id)) {
            return Err(Unfit::new(StatusCode::CONFLICT, "a request with this id is open"));
        }
        Ok(OpenRequestId { ids: Rc::clone(&self.open_ids), id })
    }
}

/// Returns the response to a request whose body could not be read.
pub fn body_fault_response(fault: Fault) -> Unfit {
    let response = match fault {
        Fault::TooLong => Unfit::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"),
        Fault::BrokeOff => Unfit::new(StatusCode::BAD_REQUEST, "the body broke off"),
        Fault::Slow => Unfit::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
    };
    response.closing()
}
