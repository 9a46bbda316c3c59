//! The applications and the balancer before them.

use comfy_table::{Table, presets};
use maplehook_proxy::Daemon;
use maplehook_test_servers::app::{App, Keys};
use maplehook_test_servers::eureka::Eureka;
use std::collections::HashMap;
use std::error::Error;
use std::fmt::Write;

/// How many applications there are.
const APPS: usize = 4;

/// Their application in the registry.
const DESKS: &str = "DESKS";

fn name(n: usize) -> String {
    format!("desk-{}", n + 1)
}

const CLASSES: &str = r#"
[listen]
address = "127.0.0.1:0"
[headers]
via = "maplehook"
[balancer]
connect_timeout_ms = 500
[[class]]
name = "book"
path = "/book/**"
methods = ["POST"]
effect = "at_most_once"
deadline_ms = 3000
[[class]]
name = "keyed"
path = "/keyed/**"
methods = ["POST"]
effect = "keyed"
deadline_ms = 3000
[[class]]
name = "look"
path = "/look/**"
methods = ["GET", "HEAD"]
effect = "idempotent"
deadline_ms = 3000
"#;

/// The applications and the balancer before them.
pub struct Fleet {
    /// The balancer.
    pub daemon: Daemon,
    /// The applications.
    pub apps: Vec<App>,
    /// The registry that names them, if one does.
    pub registry: Option<Eureka>,
    standing: Vec<&'static str>,
}

impl Fleet {
    /// Starts them. With a registry the balancer learns of them there, and registers itself.
    pub fn start(by_registry: bool) -> Result<Self, Box<dyn Error>> {
        let keys = Keys::default();
        let apps: Vec<App> = (0..APPS).map(|_| App::sharing(keys.clone())).collect();
        let mut file = CLASSES.to_owned();
        let registry = by_registry.then(Eureka::start);
        if let Some(registry) = &registry {
            writeln!(file, "[eureka]\nservers = [\"{}\"]\n[registration]\nid = \"demo\"", registry.address)?;
        }
        for (n, app) in apps.iter().enumerate() {
            if let Some(registry) = &registry {
                registry.register(DESKS, &name(n), app.address, &[("zone", "a")]);
                continue;
            }
            writeln!(file, "[[upstream]]\nname = \"{}\"\naddress = \"{}\"", name(n), app.address)?;
        }
        let daemon = Daemon::start(maplehook_config::parse(&file)?)?;
        Ok(Self { daemon, apps, registry, standing: vec!["ready"; APPS] })
    }

    /// Kills one.
    pub fn kill(&mut self, n: usize) {
        self.apps[n].kill();
        self.standing[n] = "killed";
    }

    /// Has one turn everything new away.
    pub fn drain(&mut self, n: usize) {
        self.apps[n].drain();
        if let Some(registry) = &self.registry {
            registry.mark(DESKS, &name(n), "OUT_OF_SERVICE");
        }
        self.standing[n] = "draining";
    }

    /// How often each effect has happened, over all of them.
    pub fn effects(&self) -> HashMap<String, usize> {
        let mut all: HashMap<String, usize> = HashMap::new();
        for (id, times) in self.apps.iter().flat_map(App::effects) {
            *all.entry(id).or_default() += times;
        }
        all
    }

    /// What each has got.
    pub fn table(&self) -> String {
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN);
        table.set_header(["application", "standing", "requests", "effects", "connections"]);
        for (n, (app, standing)) in self.apps.iter().zip(&self.standing).enumerate() {
            table.add_row([
                name(n),
                (*standing).to_owned(),
                app.requests().to_string(),
                app.effects().len().to_string(),
                app.connections().to_string(),
            ]);
        }
        table.to_string()
    }
}
