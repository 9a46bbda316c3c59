//! Options of the admin commands that choose a balancer, and the signed requests to it.

use crate::request_signing::sign_request;
use crate::settings::Outcome;
use crate::tier::{AdminResponse, send_request};
use hyper::StatusCode;
use maplehook_config::Operator;
use maplehook_transport::SecretKey;
use serde::Serialize;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Whom to ask, and how.
#[derive(Clone, Debug, clap::Args)]
pub struct AdminTarget {
    /// The operators' address of a balancer; that of the file of --config if it is not named here.
    #[arg(long, value_name = "IP:PORT", global = true)]
    address: Option<SocketAddr>,
    /// The file with the tier's secret; that of the file of --config if it is not named here.
    #[arg(long, value_name = "FILE", global = true)]
    secret_file: Option<PathBuf>,
    /// As the balancer says it, in JSON.
    #[arg(long, global = true)]
    pub json: bool,
}

impl AdminTarget {
    /// Returns the admin address of the option or the operator's file.
    pub fn address(&self, operator: &Operator) -> Result<SocketAddr, Box<dyn Error>> {
        let address = self.address.or(operator.control);
        address.ok_or_else(|| "no balancer given; use --address IP:PORT or --config FILE".into())
    }

    /// Signs and sends an admin request. The outcome holds the response or the reason for its rejection.
    pub fn send(
        &self,
        operator: &Operator,
        path: &str,
        request: &impl Serialize,
    ) -> Result<Outcome, Box<dyn Error>> {
        let address = self.address(operator)?;
        let default_file = operator.tier.as_ref().map(|tier| tier.secret_file.clone());
        let file = self.secret_file.clone().or(default_file);
        let secret =
            SecretKey::read(&file.ok_or("no secret given; use --secret-file FILE or --config FILE")?)?;
        let body = serde_json::to_vec(request)?;
        let mac = sign_request(&secret, &body);
        let AdminResponse { status, body } = send_request(address, path, Some((&mac, body)))?;
        let text = String::from_utf8_lossy(&body).into_owned();
        match status {
            StatusCode::OK => Ok(Outcome { text, code: 0 }),
            StatusCode::CONFLICT => Ok(Outcome { text: format!("rejected: {text}"), code: 3 }),
            _ => Err(format!("{address}: {status}: {}", text.trim()).into()),
        }
    }
}
