//! Headers on the way: what speaks of one hop stays behind, and the upstream is told who asked.

use crate::Headers;
use crate::names::{ACCOUNT, CORRELATION_ID, IDEMPOTENCY_KEY, REPEAT, TIME_LEFT, WEIGHT_HINT};
use http::header::{
    CONNECTION, CONTENT_LENGTH, COOKIE, EXPECT, Entry, FORWARDED, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, VIA,
};
use http::{HeaderMap, HeaderName, HeaderValue, Uri};
use std::net::IpAddr;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
const PROTO: HeaderName = HeaderName::from_static("x-forwarded-proto");
const HOST_ASKED: HeaderName = HeaderName::from_static("x-forwarded-host");
/// The longest list of those that a request has passed, in bytes: each hop adds to it.
const LIST_MOST: usize = 4096;

/// What the platform's protocol lives by from end to end.
pub(crate) const KEPT: [HeaderName; 8] =
    [HOST, COOKIE, CORRELATION_ID, ACCOUNT, TIME_LEFT, REPEAT, WEIGHT_HINT, IDEMPOTENCY_KEY];

/// Takes out what speaks of one connection or of framing only (RFC 9110, section 7.6.1). A header of `kept` that is
/// named in `Connection` goes on all the same: without its id a booking is nobody's, without its key it may run
/// twice, and its sender can't have meant that.
pub fn strip_hop_by_hop(headers: &mut HeaderMap, kept: &[HeaderName]) {
    if headers.contains_key(CONNECTION) {
        let named: Vec<HeaderName> = headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .filter_map(|name| name.trim().parse().ok())
            .filter(|name| !kept.contains(name))
            .collect();
        named.iter().for_each(|name| drop(headers.remove(name)));
    }
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
}

/// Who asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The address of its connection.
    pub address: IpAddr,
    /// Whether it is a front of ours, whose word on who asked it is believed.
    pub trusted: bool,
    /// Whether it came over TLS.
    pub tls: bool,
}

/// Which `Host` an upstream hears.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum HostRule {
    /// The client's.
    #[default]
    Keep,
    /// This one.
    Set(HeaderValue),
}

/// What the upstream is told of the way here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarding {
    /// `X-Forwarded-For`, `-Proto` and `-Host`.
    pub x_forwarded: bool,
    /// `Forwarded` (RFC 7239).
    pub forwarded: bool,
    /// The name that stands for us in `Via`, both ways, if any (RFC 9110, section 7.6.3).
    pub via: Option<String>,
    /// Which `Host` goes on.
    pub host: HostRule,
    /// Headers that can't be named away in `Connection`.
    kept: Vec<HeaderName>,
}

impl Forwarding {
    /// The platform's: nothing is told.
    pub fn platform() -> Self {
        let host = HostRule::Keep;
        Self { x_forwarded: false, forwarded: false, via: None, host, kept: KEPT.to_vec() }
    }

    /// `X-Forwarded-*` alone, and no header that `headers` read can be named away.
    pub fn general(headers: &Headers) -> Self {
        let mut kept = KEPT.to_vec();
        kept.extend(headers.read().cloned());
        Self { x_forwarded: true, kept, ..Self::platform() }
    }

    /// The headers of a request as they go on. `Err`: the host that its absolute target names can't be read.
    pub fn request(
        &self,
        headers: &mut HeaderMap,
        uri: &Uri,
        peer: Option<Peer>,
    ) -> Result<(), &'static str> {
        let trailer = if self.x_forwarded { headers.get(TRAILER).cloned() } else { None };
        strip_hop_by_hop(headers, &self.kept);
        if let Some(trailer) = trailer {
            headers.insert(TRAILER, trailer);
        }
        if let Some(host) = uri.authority() {
            // RFC 9112, section 3.2.2: the host of an absolute target replaces the header, else the upstream would
            // serve another host than the client named.
            let host = host.as_str().rsplit('@').next().unwrap_or_default();
            headers.insert(HOST, HeaderValue::from_str(host).map_err(|_| "an unreadable host")?);
        }
        let asked = headers.get(HOST).cloned();
        if let Some(peer) = peer {
            if self.x_forwarded {
                x_forwarded(headers, peer, asked.as_ref());
            }
            if self.forwarded {
                forwarded(headers, peer, asked.as_ref());
            }
        }
        if let HostRule::Set(host) = &self.host {
            headers.insert(HOST, host.clone());
        }
        self.sign(headers);
        Ok(())
    }

    /// The headers of an answer as they go on. `streams`: its trailers may follow. `headless`: it has no body whatever
    /// length it states, as the answer to a HEAD or 304 (RFC 9110, section 8.6).
    pub fn answer(&self, headers: &mut HeaderMap, streams: bool, headless: bool) {
        let kept = [(TRAILER, streams), (CONTENT_LENGTH, headless)];
        let kept = kept.map(|(name, stays)| (headers.get(&name).filter(|_| stays).cloned(), name));
        strip_hop_by_hop(headers, &[]);
        for (value, name) in kept {
            if let Some(value) = value {
                headers.insert(name, value);
            }
        }
        self.sign(headers);
    }

    fn sign(&self, headers: &mut HeaderMap) {
        if let Some(name) = &self.via {
            append(headers, VIA, &format!("1.1 {name}"));
        }
    }
}

fn x_forwarded(headers: &mut HeaderMap, peer: Peer, asked: Option<&HeaderValue>) {
    if !peer.trusted {
        // Whatever it says of others, it says of itself.
        headers.remove(FOR);
    }
    append(headers, FOR, &peer.address.to_string());
    let own = [
        (PROTO, Some(HeaderValue::from_static(if peer.tls { "https" } else { "http" }))),
        (HOST_ASKED, asked.cloned()),
    ];
    for (name, value) in own {
        match (headers.entry(name), value) {
            (Entry::Occupied(_), _) if peer.trusted => {}
            (Entry::Occupied(mut entry), Some(value)) => drop(entry.insert_mult(value)),
            (Entry::Occupied(entry), None) => drop(entry.remove_entry_mult()),
            (Entry::Vacant(entry), Some(value)) => drop(entry.insert(value)),
            (Entry::Vacant(_), None) => {}
        }
    }
}

fn forwarded(headers: &mut HeaderMap, peer: Peer, asked: Option<&HeaderValue>) {
    if !peer.trusted {
        headers.remove(FORWARDED);
    }
    // RFC 7239, section 6: an IPv6 address stands in brackets and quotes.
    let address = match peer.address {
        IpAddr::V4(address) => address.to_string(),
        IpAddr::V6(address) => format!("\"[{address}]\""),
    };
    let mut element = format!("for={address};proto={}", if peer.tls { "https" } else { "http" });
    let host = asked.and_then(|host| host.to_str().ok()).filter(|host| !host.contains(['"', '\\']));
    if let Some(host) = host {
        element.push_str(&format!(";host=\"{host}\""));
    }
    append(headers, FORWARDED, &element);
}

/// Adds to a list, which stays one header. One that has grown too long begins anew.
fn append(headers: &mut HeaderMap, name: HeaderName, element: &str) {
    let before: Vec<&str> = headers.get_all(&name).iter().filter_map(|v| v.to_str().ok()).collect();
    let mut list = before.join(", ");
    if list.len() > LIST_MOST {
        list.clear();
    }
    if !list.is_empty() {
        list.push_str(", ");
    }
    list.push_str(element);
    if let Ok(value) = HeaderValue::from_str(&list) {
        headers.insert(name, value);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
        pairs.iter().map(|(n, v)| (n.parse::<HeaderName>().unwrap(), v.parse().unwrap())).collect()
    }

    /// Guards the key that keeps a request from running twice, and all else that is read on the way, against a
    /// sender who names it away.
    #[test]
    fn what_is_read_cannot_be_named_away() {
        let own = Headers { tenant: "x-lodge".parse().unwrap(), ..Headers::default() };
        for forwarding in [Forwarding::platform(), Forwarding::general(&own)] {
            let mut all = HeaderMap::new();
            let names: Vec<String> = forwarding.kept.iter().map(|n| n.as_str().to_uppercase()).collect();
            all.insert(CONNECTION, format!("close, {}, x-mine", names.join(" ,")).parse().unwrap());
            forwarding.kept.iter().for_each(|name| drop(all.insert(name, "1".parse().unwrap())));
            all.insert("x-mine", "1".parse().unwrap());
            all.insert(TRANSFER_ENCODING, "chunked".parse().unwrap());
            forwarding.request(&mut all, &Uri::from_static("/"), None).unwrap();
            assert!(forwarding.kept.iter().all(|name| all.contains_key(name)), "{all:?}");
            let kept: std::collections::HashSet<&HeaderName> = forwarding.kept.iter().collect();
            assert_eq!(all.keys_len(), kept.len());
        }
    }

    /// Guards the upstream's belief about who asked: only fronts may speak for others.
    #[test]
    fn only_fronts_speak_for_others() {
        let lies = [
            ("host", "desk.example"),
            ("x-forwarded-for", "203.0.113.9"),
            ("x-forwarded-proto", "https"),
            ("x-forwarded-host", "other.example"),
            ("forwarded", "for=203.0.113.9"),
            ("via", "1.0 front"),
        ];
        let forwarding = Forwarding {
            forwarded: true,
            via: Some("maplehook".into()),
            ..Forwarding::general(&Headers::default())
        };
        let mut peer = Peer { address: "192.0.2.7".parse().unwrap(), trusted: false, tls: false };
        let told = |peer| {
            let mut headers = headers(&lies);
            forwarding.request(&mut headers, &Uri::from_static("/days"), Some(peer)).unwrap();
            ["x-forwarded-for", "x-forwarded-proto", "x-forwarded-host", "forwarded", "via"]
                .map(|name| headers[name].to_str().unwrap().to_owned())
        };
        assert_eq!(
            told(peer),
            [
                "192.0.2.7",
                "http",
                "desk.example",
                "for=192.0.2.7;proto=http;host=\"desk.example\"",
                "1.0 front, 1.1 maplehook"
            ]
        );
        peer.trusted = true;
        assert_eq!(told(peer)[0], "203.0.113.9, 192.0.2.7");
        assert_eq!(told(peer)[1..3], ["https", "other.example"]);
        peer.address = "2001:db8::1".parse().unwrap();
        assert!(told(peer)[3].starts_with("for=203.0.113.9, for=\"[2001:db8::1]\";"));
    }

    /// Guards the length of the list against a loop, or a client that fills it.
    #[test]
    fn lists_are_bounded_and_an_absolute_target_names_the_host() {
        let mut all = headers(&[("host", "a.example"), ("x-forwarded-for", &"1, ".repeat(3000))]);
        let peer = Peer { address: "192.0.2.7".parse().unwrap(), trusted: true, tls: false };
        let uri = Uri::from_static("http://me@b.example:81/x");
        Forwarding::general(&Headers::default()).request(&mut all, &uri, Some(peer)).unwrap();
        assert_eq!(all["x-forwarded-for"], "192.0.2.7");
        assert_eq!(all["host"], "b.example:81");
        assert_eq!(all["x-forwarded-host"], "b.example:81");
    }
}
