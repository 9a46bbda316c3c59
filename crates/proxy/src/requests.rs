//! What makes a client's message a request that may be handed to the module, and which requests are open.

use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Version};
use maplehook::label::Label;
use maplehook::ledger::Identity;
use maplehook::parts::attempt::OutboundRequest;
use maplehook::parts::body::{Fault, Upload, receive_body};
use maplehook::parts::body_memory::BodyMemory;
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

/// What is taken off a client's time: the way of the request here and of the answer back, and the timers.
const ON_THE_WAY: Duration = Duration::from_millis(4);

/// Names the version in force, to upstreams and clients.
pub const VERSION: HeaderName = HeaderName::from_static("x-maplehook-version");

/// Ids of the requests that are owed their answers. Clients choose them: the hasher is no one's to guess.
type OpenIds = Rc<RefCell<HashSet<HeaderValue>>>;

/// The id of an open request; no other may bear it meanwhile.
pub struct OpenId {
    ids: OpenIds,
    id: HeaderValue,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// The head of a request, found fit.
pub struct Head {
    fit: Fit,
    parts: Parts,
    book: Rc<Book>,
    /// Whether it shows that its client is known.
    pub vouched: bool,
}

impl Head {
    /// Whose it is.
    pub fn tenant(&self) -> TenantId {
        self.fit.tenant
    }
}

/// A request that may be handed to the module.
pub struct Ready {
    /// The request.
    pub asked: RequestContext,
    /// By what a repeat of it is known.
    pub identity: Option<Identity>,
    /// Its body, where that streams.
    pub upload: Option<Rc<Upload>>,
    /// Open until this is dropped.
    pub open: Option<OpenId>,
    /// The version that it came under, where it is told.
    pub label: Option<HeaderValue>,
}

/// By what a request shows that its client is known.
#[derive(Default)]
pub struct Vouching {
    /// Tenants whose name is enough.
    pub tenants: Vec<String>,
    /// The header that bears a signed word, and who checks it.
    pub token: Option<(HeaderName, TokenSigner)>,
}

impl Vouching {
    fn vouches(&self, account: Option<&str>, headers: &HeaderMap) -> bool {
        let word = || {
            let (name, signer) = self.token.as_ref()?;
            let word = headers.get(name)?.to_str().ok()?;
            let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
            let tenant = signer.verify(word, now.as_secs()).map_err(|e| tracing::debug!("token: {e}"));
            tenant.ok().map(|tenant| Some(tenant) == account)
        };
        account.is_some_and(|name| self.tenants.iter().any(|known| known == name)) || word() == Some(true)
    }
}

/// What requests are made of: a request is read by the one that stood when its head came.
struct Book {
    rules: Rules,
    passages: Vec<Rc<Passage>>,
    /// Clients of which nothing is taken.
    refused: NetworkSet,
    /// The version in force, where it is told.
    label: Option<HeaderValue>,
}

impl Book {
    fn platform(tuned: &ActiveSettings, before: Option<&Rules>) -> Self {
        let classes = tuned.classes().map(|(id, name, class)| (id, name, class.effect, class.deadline));
        let passage = Rc::new(Passage::platform());
        Self {
            rules: Rules::platform(classes, tuned.tenants(), before),
            // By number, those of the vanished among them.
            passages: vec![passage; tuned.current().settings.classes.len()],
            refused: NetworkSet::default(),
            label: None,
        }
    }
}

/// Reads requests.
pub struct Requests {
    book: RefCell<Rc<Book>>,
    /// Everything is refused.
    refuses: Cell<bool>,
    forwarding: Forwarding,
    fronts: Vec<Network>,
    room: BodyMemory,
    open: OpenIds,
    vouching: Vouching,
}

impl Requests {
    /// A reader of the platform's requests.
    pub fn platform(tuned: &ActiveSettings, vouching: Vouching, room: BodyMemory) -> Self {
        Self {
            book: RefCell::new(Rc::new(Book::platform(tuned, None))),
            refuses: Cell::new(false),
            forwarding: Forwarding::platform(),
            fronts: Vec::new(),
            room,
            open: OpenIds::default(),
            vouching,
        }
    }

    /// A reader of the requests that an operator's file describes.
    pub fn of(proxy: &Proxy, fronts: Vec<Network>, vouching: Vouching, room: BodyMemory) -> Self {
        Self {
            book: RefCell::new(Rc::new(Book {
                rules: proxy.rules(),
                passages: proxy.passages.iter().cloned().map(Rc::new).collect(),
                refused: proxy.clients.refused.clone(),
                label: None,
            })),
            refuses: Cell::new(false),
            forwarding: proxy.forwarding.clone(),
            fronts,
            room,
            open: OpenIds::default(),
            vouching,
        }
    }

    /// Whether they are the platform's, which closes on what is unfit.
    pub fn is_strict(&self) -> bool {
        self.book.borrow().rules.is_strict()
    }

    /// The platform's settings have changed.
    pub fn retune(&self, tuned: &ActiveSettings) {
        let before = Rc::clone(&self.book.borrow());
        *self.book.borrow_mut() = Rc::new(Book::platform(tuned, Some(&before.rules)));
    }

    /// Another version is in force; requests whose heads have come keep the one that they came under.
    pub fn replace(&self, rules: Rules, passages: Vec<Passage>, refused: NetworkSet, label: Option<&str>) {
        let label = label.and_then(|label| HeaderValue::from_str(label).ok());
        let passages = passages.into_iter().map(Rc::new).collect();
        *self.book.borrow_mut() = Rc::new(Book { rules, passages, refused, label });
    }

    /// Whether everything is refused from now on.
    pub fn refuse(&self, refuses: bool) {
        self.refuses.set(refuses);
    }

    /// The version in force, where it is told.
    pub fn label(&self) -> Option<HeaderValue> {
        self.book.borrow().label.clone()
    }

    /// What the client calls a request with this head.
    pub fn label_of(&self, headers: &HeaderMap) -> Label {
        headers.get(&self.book.borrow().rules.headers().id).map(Label::from).unwrap_or_default()
    }

    /// Reads a head, from a client at this address. `hides_a_length`: whether its bytes name a length that it does not show.
    pub fn head(&self, mut parts: Parts, peer: IpAddr, hides_a_length: bool) -> Result<Head, Unfit> {
        let bad = |why| Unfit::new(StatusCode::BAD_REQUEST, why);
        if self.refuses.get() {
            return Err(Unfit::new(StatusCode::SERVICE_UNAVAILABLE, "no word from the other balancers"));
        }
        let book = Rc::clone(&self.book.borrow());
        if book.refused.contains(peer) {
            return Err(Unfit::new(StatusCode::FORBIDDEN, "this client is refused"));
        }
        let headers = &mut parts.headers;
        // Two lengths hide a second request in the body of the first from one of the two that read it.
        if hides_a_length && headers.contains_key(TRANSFER_ENCODING) {
            return Err(bad("Content-Length beside Transfer-Encoding").closing());
        }
        if !book.rules.is_strict() {
            // RFC 9112, section 3.2: a request has one Host, but for one of HTTP/1.0.
            match headers.get_all(HOST).iter().count() {
                1 => {}
                0 if parts.version == Version::HTTP_10 => {
                    headers.insert(HOST, HeaderValue::from_static(""));
                }
                _ => return Err(bad("not one Host")),
            }
            if parts.method == Method::CONNECT {
                return Err(Unfit::new(StatusCode::NOT_IMPLEMENTED, "no tunnels are made"));
            }
        }
        let fit = book.rules.read(&parts.method, &parts.uri, &parts.headers)?;
        let account = parts.headers.get(&book.rules.headers().tenant).and_then(|name| name.to_str().ok());
        let vouched = self.vouching.vouches(account, &parts.headers);
        Ok(Head { fit, parts, vouched, book })
    }

    /// Reads the rest of a request, unless it streams; from then on it is open. `whole_at` tells, once it is read whole, when
    /// its last byte came.
    pub async fn rest(
        &self,
        head: Head,
        body: Incoming,
        peer: IpAddr,
        whole_at: impl FnOnce() -> Option<Instant>,
    ) -> Result<Ready, Unfit> {
        let Head { fit, parts, book, .. } = head;
        let passage = &book.passages[usize::from(fit.class.0)];
        let wait = fit.wait.saturating_sub(ON_THE_WAY);
        let body = receive_body(body, passage, &self.room, wait).await.map_err(at_fault)?;
        let strict = book.rules.is_strict();
        if strict && parts.method == Method::GET && !body.is_empty() {
            return Err(Unfit::new(StatusCode::BAD_REQUEST, "a GET with a body"));
        }
        let open = match &fit.id {
            Some(id) if strict => Some(self.open(id)?),
            _ => None,
        };
        let mut headers = parts.headers;
        if fit.id.is_none() {
            book.rules.mint(&mut headers, fastrand::u128(..));
        }
        let trusted = self.fronts.iter().any(|front| front.contains(peer));
        let peer = Peer { address: peer, trusted, tls: false };
        self.forwarding
            .request(&mut headers, &parts.uri, Some(peer))
            .map_err(|why| Unfit::new(StatusCode::BAD_REQUEST, why))?;
        if let Some(label) = &book.label {
            headers.insert(VERSION, label.clone());
        }
        if let Some((name, _)) = &self.vouching.token {
            // It is for this door alone.
            headers.remove(name);
        }
        let target = parts.uri.path_and_query().map(|p| hyper::Uri::from(p.clone())).unwrap_or_default();
        let upload = body.upload();
        // A request's time counts from its last byte: a client that writes slowly waits no less, and one that has sent it
        // behind another has waited since.
        let (since, streams) = match upload {
            Some(_) => (None, passage.patience().1),
            None => (whole_at(), Duration::ZERO),
        };
        let deadline = since.unwrap_or_else(Instant::now) + wait + streams;
        let identity = fit.identity().filter(|_| !strict);
        let identity = identity.map(|id| Identity { tenant: fit.tenant.0, class: fit.class.0, id });
        let outgoing =
            OutboundRequest { method: parts.method, target, headers, body, passage: Rc::clone(passage) };
        let Fit { class, tenant, work_ms, repeat, .. } = fit;
        // What its connection knows of it, that adds.
        let (label, presence) = (Label::default(), None);
        let asked = RequestContext { class, tenant, deadline, work_ms, repeat, outgoing, label, presence };
        Ok(Ready { asked, identity, upload, open, label: book.label.clone() })
    }

    fn open(&self, id: &HeaderValue) -> Result<OpenId, Unfit> {
        // An upstream would take the second one for a repeat of the first, or the other way round.
        if !self.open.borrow_mut().insert(id.clone()) {
            return Err(Unfit::new(StatusCode::CONFLICT, "a request with this id is open"));
        }
        Ok(OpenId { ids: Rc::clone(&self.open), id: id.clone() })
    }
}

/// The answer to a client whose request's body came to no good end.
pub fn at_fault(fault: Fault) -> Unfit {
    let unfit = match fault {
        Fault::TooLong => Unfit::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"),
        Fault::BrokeOff => Unfit::new(StatusCode::BAD_REQUEST, "the body broke off"),
        Fault::Slow => Unfit::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
    };
    unfit.closing()
}
