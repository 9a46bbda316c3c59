//! Names and formats of the headers between a balancer and its upstreams.

use hyper::header::HeaderName;
use maplehook_core::LoadField;
pub use maplehook_http_semantics::names::*;

/// Response header with the upstream's load report.
pub const LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// Parses a load report, `name=value,name=value`, into the values of `fields`. A missing or malformed value
/// becomes NaN, which the decision module ignores. Returns `None` if no value is valid.
pub fn load_report(text: &str, fields: &[LoadField]) -> Option<Vec<f32>> {
    let mut values = vec![f32::NAN; fields.len()];
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let field = maplehook_platform_settings::load_field(name.trim());
        let value = value.trim().parse().ok().filter(|v: &f32| v.is_finite());
        if let (Some(index), Some(value)) = (fields.iter().position(|f| *f == field), value) {
            values[index] = value;
        }
    }
    values.iter().any(|v| !v.is_nan()).then_some(values)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn load_report_values_follow_the_order_of_the_settings() {
        let fields = [LoadField::Queue, LoadField::InFlight];
        assert_eq!(load_report("inflight=7,queue=2,util=0.61", &fields), Some(vec![2.0, 7.0]));
        let partial = load_report("depth=3, inflight=many", &fields).unwrap();
        assert_eq!(partial[0], 3.0);
        assert!(partial[1].is_nan());
        for invalid in ["", "queue", "queue=nan", "a=1", "=,=,=", "queue=inf"] {
            assert_eq!(load_report(invalid, &fields), None, "report {invalid:?}");
        }
    }
}
