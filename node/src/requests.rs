//! What makes a client's message a request that may be handed to the module, and which requests are open.

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use lapisroute::{ClassId, Effect, TenantId};
use lapisroute_settings::Site;
use maplehook::driver::Asked;
use maplehook::headers::{self, ACCOUNT, CORRELATION_ID, IDEMPOTENCY_KEY, REPEAT, TIME_LEFT, WEIGHT_HINT};
use maplehook::upstream::Outgoing;
use maplehook_admission::token::Signer;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, timeout_at};

/// The longest body of a request.
const BODY_MOST: usize = 64 * 1024;
/// What is taken off a client's time: the way of the request here and of the answer back, and the timers.
const ON_THE_WAY: Duration = Duration::from_millis(4);

/// Why a request is not handed to the module.
#[derive(Debug)]
pub struct Unfit(pub StatusCode, pub &'static str);

struct Class {
    id: ClassId,
    effect: Effect,
    deadline: Duration,
}

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
    class: ClassId,
    tenant: TenantId,
    method: Method,
    left: Duration,
    work_ms: Option<f64>,
    repeat: bool,
    id: HeaderValue,
    parts: Parts,
    /// Whether it shows that its client is known.
    pub vouched: bool,
}

impl Head {
    /// Whose it is.
    pub fn tenant(&self) -> TenantId {
        self.tenant
    }
}

/// By what a request shows that its client is known.
#[derive(Default)]
pub struct Vouching {
    /// Tenants whose name is enough.
    pub tenants: Vec<String>,
    /// The header that bears a signed word, and who checks it.
    pub token: Option<(HeaderName, Signer)>,
}

impl Vouching {
    fn vouches(&self, account: Option<&str>, headers: &HeaderMap) -> bool {
        let word = || {
            let (name, signer) = self.token.as_ref()?;
            let word = headers.get(name)?.to_str().ok()?;
            let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
            let tenant = signer.check(word, now.as_secs()).map_err(|e| tracing::debug!("token: {e}"));
            tenant.ok().map(|tenant| Some(tenant) == account)
        };
        account.is_some_and(|name| self.tenants.iter().any(|known| known == name)) || word() == Some(true)
    }
}

/// Reads requests.
pub struct Requests {
    classes: FxHashMap<String, Class>,
    tenants: FxHashMap<String, TenantId>,
    open: OpenIds,
    vouching: Vouching,
}

impl Requests {
    /// A reader of this site's requests.
    pub fn new(site: &Site, vouching: Vouching) -> Self {
        let classes = site.names.classes.iter().cloned().zip(&site.settings.classes).enumerate();
        let classes = classes.map(|(k, (name, class))| {
            let (effect, deadline) = (class.effect, class.deadline);
            (name, Class { id: ClassId(k as u16), effect, deadline })
        });
        let tenants = site.names.tenants.iter().cloned().enumerate();
        let tenants = tenants.map(|(k, name)| (name, TenantId(k as u32)));
        let (classes, tenants) = (classes.collect(), tenants.collect());
        Self { classes, tenants, open: OpenIds::default(), vouching }
    }

    /// Reads a head. `hides_a_length`: whether its bytes name a length beyond so many that it shows.
    pub fn head(&self, parts: Parts, hides_a_length: impl FnOnce(usize) -> bool) -> Result<Head, Unfit> {
        const BAD: StatusCode = StatusCode::BAD_REQUEST;
        let headers = &parts.headers;
        let shown = headers.get_all(CONTENT_LENGTH).iter().count();
        // Two lengths hide a second request in the body of the first from one of the two that read it.
        if hides_a_length(shown) && headers.contains_key(TRANSFER_ENCODING) {
            return Err(Unfit(BAD, "Content-Length beside Transfer-Encoding"));
        }
        if headers.get_all(HOST).iter().count() != 1 {
            return Err(Unfit(BAD, "not one Host"));
        }
        let class = parts.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let Some(class) = self.classes.get(class) else {
            return Err(Unfit(StatusCode::NOT_FOUND, "unknown class"));
        };
        let method = if class.effect == Effect::Idempotent { Method::GET } else { Method::POST };
        if parts.method != method {
            return Err(Unfit(StatusCode::METHOD_NOT_ALLOWED, "the class has another method"));
        }
        let id = only(headers, &CORRELATION_ID)?.filter(|id| id.to_str().is_ok_and(|id| !id.is_empty()));
        let Some(id) = id.cloned() else {
            return Err(Unfit(BAD, "no readable X-Correlation-Id"));
        };
        let key = only(headers, &IDEMPOTENCY_KEY)?;
        if matches!(class.effect, Effect::Deduplicated { .. }) && key.is_none() {
            return Err(Unfit(BAD, "no Idempotency-Key"));
        }
        let account = only(headers, &ACCOUNT)?.and_then(|name| name.to_str().ok());
        let vouched = self.vouching.vouches(account, headers);
        let tenant = match account.map(|name| self.tenants.get(name)) {
            Some(Some(tenant)) => *tenant,
            _ if self.tenants.is_empty() => TenantId(0),
            _ => return Err(Unfit(StatusCode::FORBIDDEN, "unknown account")),
        };
        // Digits alone: `parse` would take a sign too.
        let left = only(headers, &TIME_LEFT)?.and_then(|left| left.to_str().ok());
        let left = left.filter(|left| left.bytes().all(|b| b.is_ascii_digit()));
        let Some(left) = left.and_then(|left| left.parse().ok()).map(Duration::from_millis) else {
            return Err(Unfit(BAD, "no readable X-Time-Left-Ms"));
        };
        let work_ms = match only(headers, &WEIGHT_HINT)? {
            None => None,
            Some(hint) => match hint.to_str().ok().and_then(|h| h.trim().parse::<f64>().ok()) {
                Some(us) if us.is_finite() && us >= 0.0 => Some(us / 1e3),
                _ => return Err(Unfit(BAD, "unreadable X-Weight-Hint")),
            },
        };
        let repeat = headers.get(REPEAT).is_some_and(|v| v.as_bytes() == b"1");
        // No client waits longer than its class lets it, all tries together.
        let left = left.min(class.deadline);
        Ok(Head { class: class.id, tenant, method, left, work_ms, repeat, id, parts, vouched })
    }

    /// Reads the rest of a request, which has to be whole by `whole_by`; from then on it is open.
    pub async fn rest(
        &self,
        head: Head,
        body: Incoming,
        whole_by: Instant,
    ) -> Result<(Asked, OpenId), Unfit> {
        const TOO_LONG: Unfit = Unfit(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        // What is said to be too long is not read.
        if body.size_hint().lower() > BODY_MOST as u64 {
            return Err(TOO_LONG);
        }
        let body = match timeout_at(whole_by, Limited::new(body, BODY_MOST).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(TOO_LONG),
            Ok(Err(_)) => return Err(Unfit(StatusCode::BAD_REQUEST, "the body broke off")),
            Err(_) => return Err(Unfit(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
        };
        let Head { class, tenant, method, left, work_ms, repeat, id, parts, .. } = head;
        if method == Method::GET && !body.is_empty() {
            return Err(Unfit(StatusCode::BAD_REQUEST, "a GET with a body"));
        }
        // An upstream would take the second one for a repeat of the first, or the other way round.
        if !self.open.borrow_mut().insert(id.clone()) {
            return Err(Unfit(StatusCode::CONFLICT, "a request with this id is open"));
        }
        let open = OpenId { ids: Rc::clone(&self.open), id };
        let mut headers = parts.headers;
        headers::strip_hop_by_hop(&mut headers);
        if let Some(host) = parts.uri.authority() {
            // RFC 9112, section 3.2.2: the host of an absolute target replaces the header, else the upstream would
            // serve another host than the client named.
            let host = HeaderValue::from_str(host.as_str().rsplit('@').next().unwrap_or_default());
            headers.insert(HOST, host.map_err(|_| Unfit(StatusCode::BAD_REQUEST, "an unreadable host"))?);
        }
        if let Some((name, _)) = &self.vouching.token {
            // It is for this door alone.
            headers.remove(name);
        }
        let target = parts.uri.path_and_query().map(|p| hyper::Uri::from(p.clone())).unwrap_or_default();
        let outgoing = Outgoing { method, target, headers, body };
        // A request's time counts from its last byte: a client that writes slowly waits no less.
        let deadline = Instant::now() + left.saturating_sub(ON_THE_WAY);
        Ok((Asked { class, tenant, deadline, work_ms, repeat, outgoing }, open))
    }
}

/// The value of a header that may stand once: of several, another reader might choose another.
fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, Unfit> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (_, Some(_)) => Err(Unfit(StatusCode::BAD_REQUEST, "a header twice that may stand once")),
        (value, None) => Ok(value),
    }
}
