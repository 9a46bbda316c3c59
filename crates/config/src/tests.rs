//! The file as a whole: its example, and all that can be wrong with it at once.

use super::*;

/// Guards the commented example: each of its keys is one that is read, and none is missing.
#[test]
fn the_example_shows_every_key_with_its_default() {
    let example = include_str!("../../../deploy/maplehook.toml");
    let operator = parse(example).unwrap();
    assert_eq!(operator, Operator::default());
    let uncommented: String =
        example.lines().map(|line| line.strip_prefix("#: ").unwrap_or(line).to_owned() + "\n").collect();
    let set = parse(&uncommented).unwrap();
    assert!(set.token.is_some() && set.descriptors.limit.is_some());
    let tier = set.tier.unwrap();
    assert!(tier.agreement.is_some());
    assert!(set.control.is_some() && tier.state.is_some() && tier.peers.len() == 2);
    assert_eq!(tier.drains_most, 0.5);
    assert!(set.admission.rate.is_some() && set.admission.per_address.is_some());
    let supervise = set.supervise.unwrap();
    assert!(supervise.trial.is_some() && supervise.grace.is_some());
    let bare = format!(
        "[listen]\naddress = '127.0.0.1:0'\n[[class]]\nname = 'a'\npath = '/**'\n[[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n\
        [supervise]\nprograms = '{}'\nstate = '{}'\nprogram = '{}'\n",
        supervise.programs.display(),
        supervise.state.display(),
        supervise.program
    );
    let bare = parse(&bare).unwrap().supervise.unwrap();
    assert_eq!(supervise, Supervise { trial: supervise.trial.clone(), grace: supervise.grace, ..bare });
    // What it shows of a balancer of one's own are the defaults.
    let shown = set.proxy.unwrap();
    let least = "[listen]\naddress = '127.0.0.1:8080'\n[[tenant]]\nname = 'acme'\n[[upstream]]\nname = 'desk-1'\n\
        address = '127.0.0.1:9001'\n[[class]]\nname = 'book'\npath = '/book/**'\nmethods = ['POST']\neffect = 'keyed'\n\
        [headers]\nkey = 'X-Room'\nkey_cookie = 'user'\n[balancer]\nzone = 'a'\n[eureka]\nservers = ['127.0.0.1:8761']\n\
        app = 'DESKS'\nuser = 'maplehook'\npassword_file = 'deploy/eureka.secret'\nreach = ['127.0.0.0/8']\n\
        [registration]\naddress = '127.0.0.1:8080'\n[clients]\nrefused = ['203.0.113.0/24']\n\
        [[region]]\nname = 'north'\nzones = ['a']\n[locality]\nrules = 'rule all { prefer own zone; when lost refuse; }'\n\
        [[address]]\nname = 'book'\naddress = '203.0.113.10:443'\n";
    let mut least = parse(least).unwrap().proxy.unwrap();
    // The example states what has no default, or says the default in words.
    least.upstreams[0].room = shown.upstreams[0].room;
    let (mut places, mut least_places) = (shown.places.clone().unwrap(), least.places.take().unwrap());
    places.text = None;
    least_places.text = None;
    assert_eq!(places, least_places);
    least.places.clone_from(&shown.places);
    assert_eq!(shown, least);
    for key in [
        "reserve",
        "known_most",
        "unproven",
        "burst",
        "prefix_v4",
        "prefix_v6",
        "keep_alive",
        "tenant_times",
        "remembered",
        "per_address",
        "rate",
        "prefix_times",
        "known",
        "fronts",
        "retry_after_ms",
        "prompt_ms",
        "slow_ms",
        "spare_ms",
        "known_tenants",
        "refused",
        "header",
        "secret_file",
        "limit",
        "upstream_share",
        "backlog",
        "address",
        "zone",
        "max_attempts",
        "hedging",
        "connect_timeout_ms",
        "upstream_idle_ms",
        "stall_ms",
        "drain_ms",
        "bodies_mb",
        "sockets",
        "id",
        "tenant",
        "idempotency",
        "time_left",
        "key",
        "key_cookie",
        "x_forwarded",
        "forwarded",
        "via",
        "host",
        "own",
        "allowance_per_s",
        "weight",
        "path",
        "methods",
        "effect",
        "key_ttl_ms",
        "dedup",
        "deadline_ms",
        "aim_ms",
        "buffer_bytes",
        "body_most_bytes",
        "idle_ms",
        "total_ms",
        "turned_away",
        "marker",
        "overload",
        "error",
        "servers",
        "app",
        "format",
        "poll_ms",
        "timeout_ms",
        "user",
        "password_file",
        "reach",
        "secure",
        "zone_label",
        "loss_share",
        "confirm",
        "hold_ms",
        "hold_answering_ms",
        "vip",
        "renew_ms",
        "listen",
        "secret_file",
        "state",
        "drains_most",
        "drained",
        "voters",
        "contradiction_ms",
        "when_cut_off",
        "version",
        "zones",
        "rules",
        "trips_ms",
        "most_away",
        "least_in_service",
        "most_moved_per_s",
        "shared_cause",
        "announce",
        "keep_at_least",
        "withdraw_after_ms",
        "return_after_ms",
        "sites",
        "room_per_s",
        "history",
        "programs",
        "program",
        "trial",
        "trial_status",
        "ready_ms",
        "trial_ms",
        "grace_ms",
        "backoff_ms",
        "backoff_most_ms",
        "crashes",
        "good_ms",
        "cut_off_ms",
    ] {
        assert!(uncommented.lines().any(|line| line.starts_with(&format!("{key} = "))), "{key}");
    }
}

#[test]
fn all_that_is_wrong_is_named_with_its_line() {
    let faults = parse(
        "[admission]\nreserve = 1.0\nunproven = 'much'\nknown = ['192.0.2.0/24', 'lodge']\n\
         spare_ms = -1\nprompt_ms = 9999999\n[token]\nheader = 'a b'\n[descriptors]\nlimit = 3\n\
         upstream_share = 0.95\n[listen]\nbacklog = 0\nport = 1\n[metrics]\nport = 9\n",
    );
    let shown = faults.unwrap_err().to_string();
    let lines: Vec<&str> = shown.lines().collect();
    for (line, part) in lines.iter().zip([
        "line 2: admission.reserve: it has to be 0 to 0.9",
        "line 3: admission.unproven: invalid type: string",
        "line 4: admission.known: \"lodge\" is no network",
        "line 5: admission.spare_ms: invalid value: integer `-1`",
        "line 6: admission.prompt_ms: it has to be an hour at most",
        "line 8: token.header: \"a b\" is no header's name",
        "line 8: token.header: needs secret_file",
        "line 10: descriptors.limit: it has to be",
        "line 11: descriptors.upstream_share: it has to be 0.1 to 0.9",
        "line 13: listen.backlog: it has to be 1 to 65535",
        "line 14: listen.port: no such key",
        "line 15: metrics: no such section; there are admission",
    ]) {
        assert!(line.starts_with(part), "{line:?} is not {part:?}");
    }
    assert_eq!(lines.len(), 12, "{shown}");
    assert_eq!(parse("[admission]\nreserve = \n").unwrap_err().0[0].line, 2);
    assert!(parse("reserve = 1").unwrap_err().to_string().starts_with("line 1"));
    let idle = parse("[admission]\nknown = ['::1']\n").unwrap_err().to_string();
    assert!(idle.contains("of no use without a reserve"), "{idle}");
}
