//! The file of a balancer, and calls of the program's own commands.

use super::{DEADLINE, Setup};
use crate::check::name;
use crate::relay::Relay;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A directory that nobody else has.
pub(super) fn directory() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Ordering::SeqCst);
    std::env::temp_dir().join(format!("maplehook-testbed-{}-{number}", std::process::id()))
}

/// Runs `maplehook settings` with these words.
pub fn settings(
    program: &Path,
    operator: SocketAddr,
    secret: &Path,
    words: &[&str],
) -> std::io::Result<Output> {
    let mut command = Command::new(program);
    command.args(["settings", "--address", &operator.to_string(), "--secret-file"]);
    command.arg(secret).args(words).output()
}

/// The operator's file of a balancer.
pub(super) fn file(
    setup: &Setup,
    n: usize,
    directory: &Path,
    relays: &[Option<Relay>],
    registry: SocketAddr,
    upstreams: &[SocketAddr],
) -> String {
    let map = setup.map.as_ref();
    let mut text = format!(
        "[listen]\naddress = \"127.0.0.1:0\"\n[operator]\naddress = \"127.0.0.1:0\"\n{}[headers]\nvia = \"{}{}\"\n{}\
         [balancer]\nsockets = 512\nmax_attempts = 3\n{}",
        map.map_or(String::new(), |map| map.in_operator(&directory.join(name(n)))),
        if setup.by_files { "v1-" } else { "" },
        name(n),
        if setup.agreement.is_some() { "version = true\n" } else { "" },
        map.map_or(String::new(), |map| map.in_balancer(n)),
    );
    if let Some(map) = map.filter(|map| !map.registry) {
        text += &map.lists(upstreams);
    } else if setup.listed {
        for (k, address) in upstreams.iter().enumerate() {
            text += &format!("[[upstream]]\nname = \"u{}\"\naddress = \"{address}\"\n", k + 1);
        }
    } else {
        text += &format!(
            "[eureka]\nservers = [\"{registry}\"]\napp = \"APP\"\npoll_ms = 200\ntimeout_ms = 1000\n"
        );
    }
    for (class, effect) in [("look", "idempotent"), ("book", "at_most_once"), ("keyed", "keyed")] {
        text += &format!(
            "[[class]]\nname = \"{class}\"\npath = \"/{class}/**\"\neffect = \"{effect}\"\ndeadline_ms = {}\n",
            DEADLINE.as_millis()
        );
    }
    if setup.tier {
        text += &format!(
            "[tier]\nname = \"{}\"\nlisten = \"127.0.0.1:0\"\nsecret_file = \"{}\"\nstate = \"{}\"\n",
            name(n),
            directory.join("secret").display(),
            directory.join(name(n)).join("state").display()
        );
        for (other, relay) in relays.iter().enumerate() {
            if let Some(relay) = relay {
                text +=
                    &format!("[[tier.peer]]\nname = \"{}\"\naddress = \"{}\"\n", name(other), relay.address);
            }
        }
    }
    if let Some(agreement) = &setup.agreement {
        let voters: Vec<String> = (0..3).map(|n| format!("\"{}\"", name(n))).collect();
        text += &format!("[agreement]\nvoters = [{}]\n{agreement}", voters.join(", "));
    }
    if let Some(map) = map {
        text += &map.states();
    }
    text + &setup.extra
}
