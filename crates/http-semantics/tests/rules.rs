//! Heads and answers: however a path is spelt it has one class, whatever comes is one answer, and what a status means
//! is what the operators' page says.

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use maplehook_core::{ClassId, DedupGroup, Effect, TenantId};
use maplehook_http_semantics::{Headers, Meaning, Means, Passage, Pattern, Route, Rules, names};
use proptest::prelude::*;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const KEYED: Effect = Effect::Deduplicated { group: DedupGroup::All, ttl: SECOND };

fn rules(patterns: &[&str], effect: Effect) -> Rules {
    let routes = patterns.iter().enumerate().map(|(k, pattern)| Route {
        class: ClassId(k as u16),
        pattern: Pattern::new(pattern).unwrap(),
        methods: Vec::new(),
        effect,
        deadline: 3 * SECOND,
    });
    Rules::new(routes.collect(), vec!["acme".into(), "lodge".into()], Headers::default())
}

/// A pattern as a list: what the matcher is held against.
fn matches(pattern: &str, path: &[String]) -> bool {
    let parts: Vec<&str> = pattern.split('/').filter(|p| !p.is_empty()).collect();
    let (fixed, open) = match parts.split_last() {
        Some((&"**", fixed)) => (fixed, true),
        _ => (&parts[..], false),
    };
    (path.len() == fixed.len() || (open && path.len() > fixed.len()))
        && fixed.iter().zip(path).all(|(part, segment)| *part == "*" || part == segment)
}

const PATTERNS: [&str; 7] = ["/book/*/beds", "/book/~a", "/book/**", "/days/*", "/a-b/c", "/*/x", "/**"];

fn segment() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("book".to_owned()),
        Just("beds".to_owned()),
        Just("days".to_owned()),
        Just("~a".to_owned()),
        Just("a-b".to_owned()),
        Just("c".to_owned()),
        Just("x".to_owned()),
        "[a-z0-9._~-]{1,4}".prop_filter("no dots alone", |s| s != "." && s != ".."),
    ]
}

/// The same path, spelt otherwise: by these choices.
fn spelt(path: &[String], choices: &[u8]) -> String {
    let mut choices = choices.iter().copied().cycle();
    let mut chance = || choices.next().unwrap_or(0);
    let mut text = String::new();
    for segment in path {
        match chance() % 8 {
            0 => text.push('/'),
            1 => text.push_str("/."),
            2 => text.push_str("/elsewhere/.."),
            3 => text.push_str("/%2e"),
            4 => text.push_str("/b/%2E%2e"),
            _ => {}
        }
        text.push('/');
        for byte in segment.bytes() {
            match chance() % 4 {
                0 => text.push_str(&format!("%{byte:02x}")),
                1 => text.push_str(&format!("%{byte:02X}")),
                _ => text.push(char::from(byte)),
            }
        }
    }
    if text.is_empty() { "/".into() } else { text }
}

proptest! {
    /// Guards effects: a request must not get into a class that allows repeats by spelling its path otherwise.
    #[test]
    fn a_path_has_one_class_however_it_is_spelt(
        path in prop::collection::vec(segment(), 0..5),
        choices in prop::collection::vec(any::<u8>(), 1..40),
    ) {
        let rules = rules(&PATTERNS, Effect::Idempotent);
        let expected = PATTERNS.iter().position(|pattern| matches(pattern, &path)).unwrap();
        let uri: Uri = spelt(&path, &choices).parse().unwrap();
        let read = rules.read(&Method::GET, &uri, &HeaderMap::new()).unwrap();
        prop_assert_eq!(usize::from(read.class.0), expected, "{}", uri);
    }

    /// Guards the reader: whatever a target and its headers are, there is one answer, and nobody waits for longer
    /// than a class lets them.
    #[test]
    fn whatever_comes_has_one_answer(
        target in "/[ -~]{0,40}",
        names in prop::collection::vec(0_usize..6, 0..6),
        values in prop::collection::vec("[ -~]{0,12}", 6),
        strict in any::<bool>(),
    ) {
        let Ok(uri) = target.parse::<Uri>() else { return Ok(()) };
        let known = [
            names::CORRELATION_ID, names::ACCOUNT, names::TIME_LEFT, names::IDEMPOTENCY_KEY, names::REPEAT,
            names::WEIGHT_HINT,
        ];
        let mut headers = HeaderMap::new();
        headers.insert("host", HeaderValue::from_static("a"));
        for (n, value) in names.iter().zip(&values) {
            headers.append(known[*n].clone(), value.parse().unwrap());
        }
        let rules = if strict {
            Rules::platform([(ClassId(0), "book", KEYED, 3 * SECOND)], [(TenantId(0), "acme")], None)
        } else {
            rules(&["/book/*", "/**"], KEYED)
        };
        match rules.read(&Method::POST, &uri, &headers) {
            Ok(fit) => {
                prop_assert!(fit.wait <= 3 * SECOND);
                prop_assert!(headers.get_all(names::IDEMPOTENCY_KEY).iter().count() == 1);
                prop_assert!(fit.identity().is_some());
            }
            Err(unfit) => prop_assert!(unfit.status.is_client_error(), "{unfit:?}"),
        }
    }

    /// Guards the proof that nothing ran: no status alone is one where a repeat could do harm.
    #[test]
    fn only_the_marker_proves_that_nothing_ran(status in 200_u16..600, value in "[01]{0,2}") {
        let status = StatusCode::from_u16(status).unwrap();
        let mut headers = HeaderMap::new();
        headers.insert(names::UNPROCESSED, value.parse().unwrap());
        for meaning in [Meaning::platform(), Meaning::general(Effect::AtMostOnce), Meaning::general(KEYED)] {
            let proved = matches!(status.as_u16(), 503 | 504) && value == "1";
            prop_assert_eq!(meaning.of(status, &headers) == Means::TurnedAway, proved);
        }
    }
}

/// Guards the table of the operators' page.
#[test]
fn statuses_mean_what_the_page_says() {
    let of = |effect, status| {
        Meaning::general(effect).of(StatusCode::from_u16(status).unwrap(), &HeaderMap::new())
    };
    for effect in [Effect::Idempotent, KEYED, Effect::AtMostOnce] {
        for status in (200..500).chain([501, 505]) {
            assert_eq!(of(effect, status), Means::Final { well: true }, "{status}");
        }
        for status in [500, 502, 503, 504] {
            let repeats = effect != Effect::AtMostOnce;
            let expected = if repeats { Means::Error } else { Means::Final { well: false } };
            assert_eq!(of(effect, status), expected, "{status}");
        }
    }
    for status in 200..600 {
        let means = Meaning::platform().of(StatusCode::from_u16(status).unwrap(), &HeaderMap::new());
        assert_eq!(means == Means::Final { well: true }, status == 200);
        assert!(status == 200 || means == Means::Error);
    }
    let passage = Passage::general(Effect::AtMostOnce);
    let overload = Meaning { overload: vec![StatusCode::TOO_MANY_REQUESTS], ..passage.meaning };
    assert_eq!(overload.of(StatusCode::TOO_MANY_REQUESTS, &HeaderMap::new()), Means::Overload);
}

/// Guards identities: a key is no id of the same letters, and what may be repeated has none.
#[test]
fn identities_are_told_apart() {
    let uri = Uri::from_static("/x");
    let identity = |effect, name: HeaderName| {
        let headers: HeaderMap = [(name, HeaderValue::from_static("same"))].into_iter().collect();
        rules(&["/**"], effect).read(&Method::POST, &uri, &headers).unwrap().identity()
    };
    let (key, id) = (names::IDEMPOTENCY_KEY, names::CORRELATION_ID);
    assert_ne!(identity(Effect::AtMostOnce, key.clone()), identity(Effect::AtMostOnce, id.clone()));
    assert!(identity(Effect::AtMostOnce, names::REPEAT).is_none());
    assert!(identity(Effect::Idempotent, key).is_none() && identity(Effect::Idempotent, id).is_none());
    let mut headers = HeaderMap::new();
    let rules = rules(&["/**"], Effect::AtMostOnce);
    rules.mint(&mut headers, 7);
    rules.mint(&mut headers, 8);
    assert_eq!(headers[names::CORRELATION_ID], "00000000000000000000000000000007");
}

/// Guards the choice of a class, a tenant and a key.
#[test]
fn classes_tenants_and_keys_are_read() {
    let get = Route {
        class: ClassId(0),
        pattern: Pattern::new("/a/*").unwrap(),
        methods: vec![Method::GET, Method::HEAD],
        effect: Effect::Idempotent,
        deadline: SECOND,
    };
    let put = Route { class: ClassId(1), methods: vec![Method::PUT], ..get.clone() };
    let headers = Headers {
        key: Some("x-room".parse().unwrap()),
        key_cookie: Some("user".into()),
        ..Headers::default()
    };
    let rules = Rules::new(vec![get, put], vec!["acme".into(), "lodge".into()], headers);
    let read = |method, target: &'static str, headers: &[(&str, &str)]| {
        let headers = headers.iter().map(|(n, v)| (n.parse::<HeaderName>().unwrap(), v.parse().unwrap()));
        rules.read(&method, &Uri::from_static(target), &headers.collect())
    };
    assert_eq!(read(Method::PUT, "/a/1", &[]).unwrap().class, ClassId(1));
    let wrong = read(Method::POST, "/a/1", &[]).unwrap_err();
    assert_eq!(
        (wrong.status.as_u16(), wrong.allow.unwrap()),
        (405, HeaderValue::from_static("GET, HEAD, PUT"))
    );
    assert_eq!(read(Method::GET, "/a", &[]).unwrap_err().status, 404);
    assert_eq!(read(Method::GET, "/a/%2", &[]).unwrap_err().status, 400);
    assert_eq!(read(Method::GET, "/a/b%2Fc", &[]).unwrap().class, ClassId(0), "one part");
    let lodge = read(Method::GET, "/a/1", &[("x-account", "lodge"), ("x-time-left-ms", "70")]).unwrap();
    assert_eq!((lodge.tenant, lodge.wait), (TenantId(1), Duration::from_millis(70)));
    assert_eq!(read(Method::GET, "/a/1", &[]).unwrap().tenant, TenantId(0));
    assert_eq!(read(Method::GET, "/a/1", &[("x-account", "nobody")]).unwrap_err().status, 403);
    let key = |headers| read(Method::GET, "/a/1", headers).unwrap().key;
    assert_eq!(key(&[("cookie", "a=1; user=7f"), ("x-room", "9")]).unwrap(), "9");
    assert_eq!(key(&[("cookie", "a=1; user=7f")]).unwrap(), "7f");
    assert_eq!(key(&[("cookie", "a=1; userx=7f")]), None);
    for wrong in ["book", "/a//b", "/a/**/b", "/a/b*", "/a/../b", "/a?b", "/%g0"] {
        assert!(Pattern::new(wrong).is_err(), "{wrong}");
    }
    assert_eq!(Pattern::new("/a/*/%62/**").unwrap().to_string(), "/a/*/b/**");
}

/// Guards the method of a class whose effect has changed: its clients may still use the old one, but only until the settings
/// change again.
#[test]
fn an_old_method_stands_until_the_next_settings() {
    let rules = |effect, before: Option<&Rules>| {
        Rules::platform([(ClassId(0), "look", effect, SECOND)], [(TenantId(0), "acme")], before)
    };
    let takes = |rules: &Rules, method: Method| {
        let mut headers = HeaderMap::new();
        for (name, value) in
            [("host", "a"), ("x-correlation-id", "1"), ("x-account", "acme"), ("x-time-left-ms", "9")]
        {
            headers.insert(name, value.parse().unwrap());
        }
        rules.read(&method, &"/look".parse().unwrap(), &headers).is_ok()
    };
    let first = rules(Effect::Idempotent, None);
    assert!(takes(&first, Method::GET) && takes(&first, Method::HEAD) && !takes(&first, Method::POST));
    let second = rules(Effect::AtMostOnce, Some(&first));
    assert!(takes(&second, Method::GET) && takes(&second, Method::HEAD) && takes(&second, Method::POST));
    let third = rules(Effect::AtMostOnce, Some(&second));
    assert!(takes(&third, Method::POST) && !takes(&third, Method::GET) && !takes(&third, Method::HEAD));
}
