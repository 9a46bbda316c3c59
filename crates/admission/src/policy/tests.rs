//! Tests of the settings' ranges.

use super::*;

#[test]
fn all_values_out_of_range_are_named_at_once() {
    assert_eq!(AdmissionPolicy::default().check(), []);
    let invalid = AdmissionPolicy {
        reserve: 0.95,
        known_most: f64::NAN,
        rate: Some(0.0),
        prefix_v4: 33,
        remembered: 3,
        spare: Duration::from_secs(3601),
        ..AdmissionPolicy::default()
    };
    let fields: Vec<_> = invalid.check().iter().map(|e| e.field).collect();
    assert_eq!(fields, ["reserve", "known_most", "rate", "prefix_v4", "remembered", "spare"]);
}
