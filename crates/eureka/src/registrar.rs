//! The balancer registers itself: it renews its lease, registers again where the registry has forgotten it, and
//! deregisters as the first act of a planned end.

use crate::client::{Client, Manner};
use hyper::{Method, StatusCode};
use maplehook::parts::rate_limited_log::RateLimitedLog;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// What is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The application.
    pub app: String,
    /// The instance; unique in the registry.
    pub id: String,
    /// Where clients connect.
    pub address: SocketAddr,
    /// The VIP name.
    pub vip: String,
    /// Between two renewals; the lease ends after three of them.
    pub renew: Duration,
    /// Further words on it.
    pub metadata: BTreeMap<String, String>,
}

/// Keeps a registration.
pub struct Registrar {
    registration: Registration,
    clients: Vec<Client>,
    failing: RateLimitedLog,
}

impl Registrar {
    /// One that registers at the first replica that takes it; replicas tell one another.
    pub fn new(registration: Registration, manner: &Manner, replicas: &[SocketAddr]) -> Self {
        let clients = replicas.iter().map(|replica| Client::new(manner.clone(), *replica)).collect();
        Self { registration, clients, failing: RateLimitedLog::default() }
    }

    fn place(&self) -> String {
        format!("/apps/{}/{}", self.registration.app, self.registration.id)
    }

    fn document(&self) -> String {
        let Registration { app, id, address, vip, renew, metadata } = &self.registration;
        let seconds = renew.as_secs().max(1);
        json!({"instance": {
            "instanceId": id, "app": app, "hostName": address.ip().to_string(), "ipAddr": address.ip().to_string(),
            "status": "UP", "overriddenstatus": "UNKNOWN", "vipAddress": vip, "secureVipAddress": vip,
            "port": {"$": address.port(), "@enabled": "true"}, "securePort": {"$": 443, "@enabled": "false"},
            "countryId": 1, "metadata": metadata,
            "healthCheckUrl": format!("http://{address}/health/live"),
            "homePageUrl": format!("http://{address}/"), "statusPageUrl": format!("http://{address}/health/ready"),
            "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
            "leaseInfo": {"renewalIntervalInSecs": seconds, "durationInSecs": 3 * seconds},
        }})
        .to_string()
    }

    /// Sends to the first replica that answers.
    async fn tell(&self, method: Method, rest: &str, body: String) -> Option<StatusCode> {
        for client in &self.clients {
            match client.tell(method.clone(), rest, body.clone()).await {
                Ok(status) if !status.is_server_error() => return Some(status),
                Ok(status) => self.failing.warn(|| format!("registration at {}: {status}", client.replica())),
                Err(e) => self.failing.warn(|| format!("registration at {}: {e}", client.replica())),
            }
        }
        None
    }

    /// Registers; whether a replica took it.
    pub async fn register(&self) -> bool {
        let app = format!("/apps/{}", self.registration.app);
        self.tell(Method::POST, &app, self.document()).await.is_some_and(|status| status.is_success())
    }

    /// Renews the lease, and registers again where nobody knows of it.
    pub async fn renew(&self) -> bool {
        match self.tell(Method::PUT, &self.place(), String::new()).await {
            Some(StatusCode::NOT_FOUND) => self.register().await,
            status => status.is_some_and(|status| status.is_success()),
        }
    }

    /// Registers, and renews for as long as it is polled. After a failure it tries again sooner.
    pub async fn keep(&self) {
        let mut good = self.register().await;
        loop {
            let pause = if good { self.registration.renew } else { self.registration.renew / 5 };
            sleep(pause.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
            good = self.renew().await;
        }
    }

    /// Deregisters: the first act of a planned end.
    pub async fn deregister(&self) -> bool {
        self.tell(Method::DELETE, &self.place(), String::new())
            .await
            .is_some_and(|status| status.is_success())
    }
}
