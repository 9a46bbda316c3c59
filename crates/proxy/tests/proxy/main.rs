//! The balancer that the operator's file alone describes, as ordinary clients use it: `reqwest` (over hyper) where
//! it can say a thing, bytes where no library would.

#[path = "../common/mod.rs"]
mod common;

mod answers;
mod passing;
mod refusals;
mod uploads;

use common::*;
use maplehook_test_servers::app::{App, Echo};
use reqwest::{Body, Client as Http, Method, Response, redirect};

/// Every kind of class.
const CLASSES: &str = r#"
[headers]
via = "maplehook"
[[class]]
name = "book"
path = "/book/**"
methods = ["POST"]
effect = "at_most_once"
deadline_ms = 5000
[[class]]
name = "keyed"
path = "/keyed/**"
effect = "keyed"
deadline_ms = 5000
[[class]]
name = "error"
path = "/error/*"
methods = ["GET"]
effect = "idempotent"
deadline_ms = 5000
[[class]]
name = "look"
path = "/**"
methods = ["GET", "HEAD"]
effect = "idempotent"
deadline_ms = 5000
[[class]]
name = "other"
path = "/**"
deadline_ms = 5000
"#;

/// An application behind a balancer, and a client of it.
struct Rig {
    app: App,
    node: Node,
    http: Http,
    runtime: tokio::runtime::Runtime,
}

impl Rig {
    fn new(extra: &str) -> Self {
        let app = App::start();
        let node = run(&[app.address], extra);
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let http =
            Http::builder().redirect(redirect::Policy::none()).timeout(LONG).no_proxy().build().unwrap();
        Self { app, node, http, runtime }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.node.address)
    }

    fn send(&self, request: reqwest::RequestBuilder) -> Response {
        self.runtime.block_on(async { request.send().await }).unwrap()
    }

    fn ask(&self, method: Method, path: &str, body: impl Into<Body>) -> Response {
        let request = self.http.request(method, self.url(path)).body(body);
        self.send(request)
    }

    fn get(&self, path: &str) -> Response {
        self.ask(Method::GET, path, "")
    }

    fn bytes(&self, response: Response) -> Vec<u8> {
        self.runtime.block_on(response.bytes()).unwrap().to_vec()
    }

    fn echo(&self, response: Response) -> Echo {
        serde_json::from_slice(&self.bytes(response)).unwrap()
    }
}
