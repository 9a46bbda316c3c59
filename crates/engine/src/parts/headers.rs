//! Names and forms of the headers that pass between a balancer and its upstreams.

use hyper::header::HeaderName;
use maplehook_core::LoadField;
pub use maplehook_http_semantics::names::*;

/// A load report.
pub const LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// Reads a load report, `name=value,name=value`, as the values of `fields`. A value that is missing or no
/// number is NaN, which the library passes over; `None` if there is none at all.
pub fn load_report(text: &str, fields: &[LoadField]) -> Option<Vec<f32>> {
    let mut values = vec![f32::NAN; fields.len()];
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let field = maplehook_platform_settings::load_field(name.trim());
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
}
