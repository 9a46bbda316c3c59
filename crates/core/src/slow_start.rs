//! Slow start: the capacity of a recently started upstream, which rises over a window.

use crate::interface::Settings;
use crate::upstream::Upstream;

/// Share of the load that would overload an upstream in slow start that all balancers together may send.
pub(crate) const SAFE_OVERLOAD_SHARE: f64 = 0.4;

/// Returns the share of its full capacity that an upstream has at time `now`, in seconds.
pub(crate) fn slow_start_share(settings: &Settings, now: f64, upstream: &Upstream) -> f64 {
    let min_share = settings.slow_start_min_share.min(1.0);
    upstream.slow_start_since.map_or(1.0, |since| {
        let window = settings.slow_start_window.as_secs_f64().max(1e-6);
        let progress = ((now - since) / window).clamp(0.0, 1.0);
        min_share + (1.0 - min_share) * progress
    })
}
