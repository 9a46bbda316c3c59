//! Load reports that upstreams send about themselves.

use crate::interface::*;
use crate::state::Balancer;

/// Upper bound of reported values, which limits the effect of faulty reports.
const MAX_REPORTED_VALUE: f64 = 1e4;

impl Balancer {
    /// Records the load report of an upstream, reduced to the share of the other balancers: reports are older
    /// than this balancer's count of its own requests.
    pub(crate) fn on_load_report(&mut self, id: UpstreamId, report: &[f32]) {
        let Some(index) = self.index_by_id.get(&id).copied() else { return };
        let mut in_flight: Option<f64> = None;
        let values = self.settings.report_fields.iter().zip(report);
        for (field, value) in values.filter(|(_, value)| value.is_finite()) {
            let value = f64::from(*value).clamp(0.0, MAX_REPORTED_VALUE);
            match field {
                LoadField::InFlight | LoadField::Queue => {
                    in_flight = Some(value.max(in_flight.unwrap_or(0.0)));
                }
                LoadField::Utilization => self.utilization.record(value.min(1.0), self.now_s),
                _ => {}
            }
        }
        if let Some(in_flight) = in_flight {
            let others_share = 1.0 - 1.0 / f64::from(self.settings.balancers.max(1));
            let upstream = &mut self.upstreams[index];
            upstream.reported_load = in_flight * others_share;
            upstream.reported_at = self.now_s;
        }
    }
}
