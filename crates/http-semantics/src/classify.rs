//! What a request is: its class, tenant, id, key and time, from its head alone.

use crate::names::{ACCOUNT, CORRELATION_ID, IDEMPOTENCY_KEY, REPEAT, TIME_LEFT, WEIGHT_HINT};
use crate::pattern::{Pattern, Segments};
use http::header::{COOKIE, Entry, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use maplehook_core::{ClassId, Effect, TenantId};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The longest id or key, in bytes: the ledger keeps them.
const ID_MOST: usize = 256;

/// Requests that make up a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The class.
    pub class: ClassId,
    /// Its paths.
    pub pattern: Pattern,
    /// Its methods; any if there are none.
    pub methods: Vec<Method>,
    /// What a repeat may do.
    pub effect: Effect,
    /// How long a client waits if it does not say so, and at the most.
    pub deadline: Duration,
}

/// The names of the headers that are read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Headers {
    /// The request's id.
    pub id: HeaderName,
    /// The tenant.
    pub tenant: HeaderName,
    /// The idempotency key.
    pub idempotency: HeaderName,
    /// Milliseconds for which the client still waits.
    pub time_left: HeaderName,
    /// What the request is about, if a header says so.
    pub key: Option<HeaderName>,
    /// The cookie that says so where that header does not.
    pub key_cookie: Option<String>,
}

impl Default for Headers {
    /// The platform's, without a key.
    fn default() -> Self {
        Self {
            id: CORRELATION_ID,
            tenant: ACCOUNT,
            idempotency: IDEMPOTENCY_KEY,
            time_left: TIME_LEFT,
            key: None,
            key_cookie: None,
        }
    }
}

impl Headers {
    /// All that are read.
    pub(crate) fn read(&self) -> impl Iterator<Item = &HeaderName> {
        [&self.id, &self.tenant, &self.idempotency, &self.time_left].into_iter().chain(&self.key)
    }
}

/// Why a head is no request, and the one answer that it gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unfit {
    /// The answer's status.
    pub status: StatusCode,
    /// Its text.
    pub why: &'static str,
    /// The value of `Allow` with 405 (RFC 9110, section 15.5.6), where it is known.
    pub allow: Option<HeaderValue>,
    /// Whether the connection ends with the answer: nobody can tell, or is going to read, where the request ends.
    pub closes: bool,
}

impl Unfit {
    /// One without `Allow`, after which the connection may stay.
    pub const fn new(status: StatusCode, why: &'static str) -> Self {
        Self { status, why, allow: None, closes: false }
    }

    /// The same, with which the connection ends.
    pub fn closing(self) -> Self {
        Self { closes: true, ..self }
    }

    const fn bad(why: &'static str) -> Self {
        Self::new(StatusCode::BAD_REQUEST, why)
    }
}

/// A request, found fit.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// Its class.
    pub class: ClassId,
    /// What a repeat of it may do.
    pub effect: Effect,
    /// Its tenant.
    pub tenant: TenantId,
    /// How long its client waits from now.
    pub wait: Duration,
    /// Expected work in milliseconds, where the client says so.
    pub work_ms: Option<f64>,
    /// The client says that it has tried this before.
    pub repeat: bool,
    /// Its id, if it has one.
    pub id: Option<HeaderValue>,
    /// Its idempotency key, if it has one.
    pub idempotency: Option<HeaderValue>,
    /// What it is about, if it says so.
    pub key: Option<HeaderValue>,
}

impl Fit {
    /// By what a repeat of it is known, where that matters: the key, which its client chose for that, or else the
    /// id. Neither is needed for what may be repeated anyhow.
    pub fn identity(&self) -> Option<Box<[u8]>> {
        if self.effect == Effect::Idempotent {
            return None;
        }
        // One tells them apart: an id must not be taken for another's key.
        let (kind, value) = match (&self.idempotency, &self.id) {
            (Some(key), _) => (b'k', key),
            (None, Some(id)) => (b'i', id),
            (None, None) => return None,
        };
        Some([&[kind], value.as_bytes()].concat().into())
    }
}

enum Routes {
    /// By the first part of the path, as the platform has it.
    First(FxHashMap<String, Route>),
    /// The first that matches.
    Ordered(Vec<Route>),
}

/// How heads are read.
pub struct Rules {
    routes: Routes,
    tenants: FxHashMap<String, TenantId>,
    headers: Headers,
    /// The platform's protocol: what else may be missing must be there.
    strict: bool,
}

impl Rules {
    /// Rules of an operator's own: the first route that matches wins. Whoever names no tenant is the first one; so is
    /// everybody if there are none.
    pub fn new(routes: Vec<Route>, tenants: Vec<String>, headers: Headers) -> Self {
        Self { routes: Routes::Ordered(routes), tenants: numbered(tenants), headers, strict: false }
    }

    /// The platform's protocol: a class by the first part of the path, with one method, an id and a time.
    /// A class that allowed repeats before, or did not, is asked for by either method as long as `before` stands: its
    /// clients can't change theirs at the same moment.
    pub fn platform<'a>(
        classes: impl IntoIterator<Item = (ClassId, &'a str, Effect, Duration)>,
        tenants: impl IntoIterator<Item = (TenantId, &'a str)>,
        before: Option<&Self>,
    ) -> Self {
        let routes = classes.into_iter().map(|(class, name, effect, deadline)| {
            let mut methods = methods_of(effect).to_vec();
            if let Some(Routes::First(routes)) = before.map(|before| &before.routes)
                && let Some(route) = routes.get(name)
                && methods_of(route.effect) != methods
            {
                // Those of its effect alone: what stood before that is over.
                methods.extend_from_slice(methods_of(route.effect));
            }
            (name.to_owned(), Route { class, pattern: Pattern::any(), methods, effect, deadline })
        });
        Self {
            routes: Routes::First(routes.collect()),
            tenants: tenants.into_iter().map(|(id, name)| (name.to_owned(), id)).collect(),
            headers: Headers::default(),
            strict: true,
        }
    }

    /// Whether this is the platform's protocol: ids must differ while they are open, and a GET has no body.
    pub fn is_strict(&self) -> bool {
        self.strict
    }

    /// The names of the headers that are read.
    pub fn headers(&self) -> &Headers {
        &self.headers
    }

    /// Gives a request that has no id one of these bits, so that its way can be followed. Nobody can repeat it by that
    /// id: it is no [`Fit::identity`].
    pub fn mint(&self, headers: &mut HeaderMap, bits: u128) {
        if let Entry::Vacant(entry) = headers.entry(&self.headers.id)
            && let Ok(id) = HeaderValue::from_str(&format!("{bits:032x}"))
        {
            entry.insert(id);
        }
    }

    /// What a request is whose framing is sound.
    pub fn read(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Result<Fit, Unfit> {
        if self.strict && headers.get_all(HOST).iter().count() != 1 {
            return Err(Unfit::bad("not one Host"));
        }
        let route = self.route(method, uri.path())?;
        let id = self.id(headers)?;
        let idempotency = only(headers, &self.headers.idempotency)?;
        if matches!(route.effect, Effect::Deduplicated { .. }) && idempotency.is_none() {
            return Err(Unfit::bad("no Idempotency-Key"));
        }
        if !self.strict && idempotency.is_some_and(|key| key.len() > ID_MOST || key.is_empty()) {
            return Err(Unfit::bad("the idempotency key is empty or too long"));
        }
        let tenant = self.tenant(headers)?;
        let wait = self.wait(headers, route.deadline)?;
        let work_ms = match only(headers, &WEIGHT_HINT)?.filter(|_| self.strict) {
            None => None,
            Some(hint) => match hint.to_str().ok().and_then(|h| h.trim().parse::<f64>().ok()) {
                Some(us) if us.is_finite() && us >= 0.0 => Some(us / 1e3),
                _ => return Err(Unfit::bad("unreadable X-Weight-Hint")),
            },
        };
        Ok(Fit {
            class: route.class,
            effect: route.effect,
            tenant,
            wait,
            work_ms,
            repeat: headers.get(REPEAT).is_some_and(|v| v.as_bytes() == b"1"),
            id: id.cloned(),
            idempotency: idempotency.cloned(),
            key: self.key(headers),
        })
    }

    fn route(&self, method: &Method, path: &str) -> Result<&Route, Unfit> {
        match &self.routes {
            Routes::First(routes) => {
                let first = path.trim_start_matches('/').split('/').next().unwrap_or_default();
                let unknown = const { Unfit::new(StatusCode::NOT_FOUND, "unknown class") };
                let route = routes.get(first).ok_or(unknown)?;
                if !route.methods.contains(method) {
                    let why = "the class has another method";
                    return Err(Unfit::new(StatusCode::METHOD_NOT_ALLOWED, why));
                }
                Ok(route)
            }
            Routes::Ordered(routes) => {
                let Some(segments) = Segments::of(path) else {
                    return Err(Unfit::bad("the path can't be read"));
                };
                let mut others: Vec<&str> = Vec::new();
                for route in routes.iter().filter(|route| route.pattern.matches(&segments)) {
                    if route.methods.is_empty() || route.methods.contains(method) {
                        return Ok(route);
                    }
                    others.extend(route.methods.iter().map(Method::as_str));
                }
                if others.is_empty() {
                    return Err(Unfit::new(StatusCode::NOT_FOUND, "no class has this path"));
                }
                others.sort_unstable();
                others.dedup();
                Err(Unfit {
                    status: StatusCode::METHOD_NOT_ALLOWED,
                    why: "no class has this method at this path",
                    allow: HeaderValue::from_str(&others.join(", ")).ok(),
                    closes: false,
                })
            }
        }
    }

    fn id<'a>(&self, headers: &'a HeaderMap) -> Result<Option<&'a HeaderValue>, Unfit> {
        let id = only(headers, &self.headers.id)?;
        let readable = |id: &&HeaderValue| id.to_str().is_ok_and(|id| !id.is_empty());
        match id {
            id if self.strict => {
                id.filter(readable).map(Some).ok_or(Unfit::bad("no readable X-Correlation-Id"))
            }
            Some(id) if !readable(&id) || id.len() > ID_MOST => {
                Err(Unfit::bad("the id is empty or too long"))
            }
            id => Ok(id),
        }
    }

    fn tenant(&self, headers: &HeaderMap) -> Result<TenantId, Unfit> {
        let name = only(headers, &self.headers.tenant)?;
        let known = name.and_then(|name| name.to_str().ok()).map(|name| self.tenants.get(name));
        match known {
            Some(Some(tenant)) => Ok(*tenant),
            _ if self.tenants.is_empty() => Ok(TenantId(0)),
            None if !self.strict && name.is_none() => Ok(TenantId(0)),
            _ => Err(Unfit::new(StatusCode::FORBIDDEN, "unknown account")),
        }
    }

    /// No client waits longer than its class lets it, all tries together.
    fn wait(&self, headers: &HeaderMap, most: Duration) -> Result<Duration, Unfit> {
        let left = only(headers, &self.headers.time_left)?;
        if left.is_none() && !self.strict {
            return Ok(most);
        }
        // Digits alone: `parse` would take a sign too.
        let left = left.and_then(|left| left.to_str().ok());
        let left = left.filter(|left| left.bytes().all(|b| b.is_ascii_digit()));
        let left = left.and_then(|left| left.parse().ok()).map(Duration::from_millis);
        left.map(|left| left.min(most)).ok_or(Unfit::bad("no readable X-Time-Left-Ms"))
    }

    fn key(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        let by_header = self.headers.key.as_ref().and_then(|name| headers.get(name)).cloned();
        by_header.or_else(|| {
            let name = self.headers.key_cookie.as_ref()?;
            let cookies = headers.get_all(COOKIE).into_iter().filter_map(|v| v.to_str().ok());
            let mut pairs = cookies.flat_map(|v| v.split(';')).filter_map(|pair| pair.trim().split_once('='));
            let (_, value) = pairs.find(|(n, _)| n == name)?;
            HeaderValue::from_str(value).ok()
        })
    }
}

/// The methods of a class on the platform, by what a repeat may do.
fn methods_of(effect: Effect) -> &'static [Method] {
    match effect {
        Effect::Idempotent => &[Method::GET, Method::HEAD],
        _ => &[Method::POST],
    }
}

impl Pattern {
    /// Every path.
    pub(crate) fn any() -> Self {
        Self::new("/**").unwrap_or_else(|_| unreachable!("a pattern"))
    }
}

fn numbered(names: Vec<String>) -> FxHashMap<String, TenantId> {
    names.into_iter().enumerate().map(|(k, name)| (name, TenantId(k as u32))).collect()
}

/// The value of a header that may stand once: of several, another reader might choose another.
fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, Unfit> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (_, Some(_)) => Err(Unfit::bad("a header twice that may stand once")),
        (value, None) => Ok(value),
    }
}
