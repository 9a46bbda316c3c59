//! Names and forms of headers, and which of them stay behind when a message is passed on.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, COOKIE, HOST, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use lapisroute::LoadField;

/// A request's own id, new with each try.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// The tenant.
pub const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
/// How long the sender still waits, in whole milliseconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
/// Marks a client's retry.
pub const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
/// A guess at the work, in microseconds.
pub const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
/// Marks a keyed request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Set to 1: the request was turned away unseen.
pub const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// A load report.
pub const LOAD: HeaderName = HeaderName::from_static("x-backend-load");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const EXPECT: HeaderName = HeaderName::from_static("expect");

/// What the protocol lives by from end to end. RFC 9110, section 7.6.1, lets a sender name any header in
/// `Connection` as its hop's own; one of these that is named there goes on all the same. Without its id a booking
/// is nobody's, without its key it may run twice, and its sender can't have meant that.
const KEPT: [HeaderName; 8] =
    [HOST, COOKIE, CORRELATION_ID, ACCOUNT, TIME_LEFT, REPEAT, WEIGHT_HINT, IDEMPOTENCY_KEY];

/// Takes out what speaks of one connection or of framing only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !KEPT.contains(name))
        .collect();
    let fixed = [
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
    ];
    for name in fixed.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Reads a load report, `name=value,name=value`, as the values of `fields`. A value that is missing or no
/// number is NaN, which the library passes over; `None` if there is none at all.
pub fn load_report(text: &str, fields: &[LoadField]) -> Option<Vec<f32>> {
    let mut values = vec![f32::NAN; fields.len()];
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let field = lapisroute_settings::load_field(name.trim());
        let value = value.trim().parse().ok().filter(|v: &f32| v.is_finite());
        if let (Some(k), Some(value)) = (fields.iter().position(|f| *f == field), value) {
            values[k] = value;
        }
    }
    values.iter().any(|v| !v.is_nan()).then_some(values)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn load_reports_keep_the_order_of_the_settings() {
        let fields = [LoadField::Queue, LoadField::InFlight];
        assert_eq!(load_report("inflight=7,queue=2,util=0.61", &fields), Some(vec![2.0, 7.0]));
        let half = load_report("depth=3, inflight=many", &fields).unwrap();
        assert_eq!(half[0], 3.0);
        assert!(half[1].is_nan());
        for bad in ["", "queue", "queue=nan", "a=1", "=,=,=", "queue=inf"] {
            assert_eq!(load_report(bad, &fields), None, "{bad}");
        }
    }

    #[test]
    fn what_speaks_of_one_connection_stays_behind() {
        let mut headers = HeaderMap::new();
        headers.insert(CONNECTION, "close, X-Mine".parse().unwrap());
        headers.insert("x-mine", "1".parse().unwrap());
        headers.insert(TRANSFER_ENCODING, "chunked".parse().unwrap());
        headers.insert(CORRELATION_ID, "9b1f".parse().unwrap());
        strip_hop_by_hop(&mut headers);
        assert_eq!(headers.len(), 1);
        assert!(headers.contains_key(CORRELATION_ID));
    }

    /// Guards the key that keeps a request from running twice, and all else that is read on the way, against a
    /// sender who names it away.
    #[test]
    fn what_the_protocol_lives_by_cannot_be_named_away() {
        let mut headers = HeaderMap::new();
        let names = KEPT.map(|name| name.to_string().to_uppercase());
        headers.insert(CONNECTION, format!("{}, x-mine", names.join(" ,")).parse().unwrap());
        for name in KEPT {
            headers.insert(name, "1".parse().unwrap());
        }
        headers.insert("x-mine", "1".parse().unwrap());
        strip_hop_by_hop(&mut headers);
        assert_eq!(headers.len(), KEPT.len());
        assert!(KEPT.iter().all(|name| headers.contains_key(name)));
    }
}
