//! The command line, and the operator's file that its options name.

use crate::locality_command::Locality;
use crate::places_command::{Addresses, Places};
use crate::rollout_command::Rollout;
use crate::settings::Settings;
use crate::tier::{self, TierStatus};
use clap::{Args, Parser, Subcommand};
use maplehook_admission::token::TokenSigner;
use maplehook_config::Operator;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// A load balancer for services that must keep their promises while things break. Without a command it reads the
/// platform's configuration from the file that NODE_CONFIG names; `run` needs the operator's file alone.
#[derive(Parser)]
#[command(version, name = "maplehook-node")]
pub struct CommandLine {
    /// The operator's file, TOML; see deploy/maplehook.toml. Without one, the defaults hold.
    #[arg(long, value_name = "FILE", global = true)]
    pub config: Option<PathBuf>,
    /// What to do instead of serving.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What to do instead of serving.
#[derive(Subcommand)]
pub enum Command {
    /// Serves as the operator's file alone says: listen.address, classes and upstreams. No platform is needed.
    Run,
    /// Holds the socket of a balancer and runs it as its child, as the section `supervise` of the file says: puts one program in
    /// the place of another, and starts it again when it dies.
    Supervise,
    /// Reads an operator's file and names all that is wrong with it.
    Check {
        /// The file; the one of --config if it is not named here.
        file: Option<PathBuf>,
    },
    /// Signs the word by which a known client shows itself.
    Sign(Sign),
    /// Versions of settings and lists on which balancers agree. Ends with 0 if it is done, 1 without an answer, 2 if something is
    /// not everywhere yet, 3 if it is refused.
    Settings(Settings),
    /// Zones, and where requests go. Ends with 0 if it is done or all is well, 1 without an answer, 2 if something is not well, 3 if it
    /// is refused.
    Places(Places),
    /// Shared service addresses. Ends as `places` does.
    Addresses(Addresses),
    /// Changes of settings or of the program that go to some balancers first. Ends with 0 if it is done, 1 without an answer, 2 if
    /// a change runs or was undone, 3 if it is refused.
    Rollout(Rollout),
    /// Rules of nearness. Ends with 0 if they are good, 1 if they can't be read, 3 if something is wrong with them.
    Locality(Locality),
    /// Asks who is there of a balancer's tier.
    Tier {
        /// What to ask.
        #[command(subcommand)]
        what: TierCommand,
    },
}

/// What to ask of a tier.
#[derive(Subcommand)]
pub enum TierCommand {
    /// Shows who is there. Ends with 0 if nobody is missing, 2 if somebody is, 1 if there is no answer.
    Status {
        /// The operators' address of a balancer.
        #[arg(long, value_name = "IP:PORT")]
        address: SocketAddr,
        /// As the balancer says it, in JSON.
        #[arg(long)]
        json: bool,
    },
}

impl TierCommand {
    /// Requests the tier's status. Returns its text, and true if the tier is complete.
    pub fn run(&self) -> Result<(String, bool), Box<dyn Error>> {
        let Self::Status { address, json } = self;
        let body = tier::get_body(*address, "/control/tier")?;
        let status: TierStatus = serde_json::from_slice(&body)?;
        let text = if *json { String::from_utf8_lossy(&body).into_owned() } else { status.table() };
        Ok((text, status.is_complete()))
    }
}

/// Signs a known client's word.
#[derive(Args)]
pub struct Sign {
    /// The file that holds the secret.
    #[arg(long, value_name = "FILE")]
    secret: PathBuf,
    /// The tenant whose client it is.
    #[arg(long, value_name = "NAME")]
    tenant: String,
    /// How long the word is good, in seconds from now.
    #[arg(long = "for", value_name = "SECONDS", value_parser = clap::value_parser!(u64).range(1..=315_360_000))]
    lasts: u64,
}

impl Sign {
    /// Creates a token for the tenant that expires after the given time.
    pub fn token(&self) -> Result<String, Box<dyn Error>> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
        let token = token_signer(&self.secret)?.sign(&self.tenant, now + self.lasts);
        token.ok_or_else(|| format!("the tenant name {:?} can't be encoded in a token", self.tenant).into())
    }
}

/// Reads the secret file and creates the signer for the tokens of known clients.
pub fn token_signer(path: &Path) -> Result<TokenSigner, Box<dyn Error>> {
    let secret = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    TokenSigner::new(secret.trim_ascii())
        .ok_or_else(|| format!("{}: the secret must have at least 16 bytes", path.display()).into())
}

/// Reads the operator's file, or returns the defaults without one.
pub fn load_operator(path: Option<&Path>) -> Result<Operator, Box<dyn Error>> {
    path.map_or_else(|| Ok(Operator::default()), |path| Ok(load_operator_with_text(path)?.0))
}

/// Replaces `locality.rules_file` by the rules in that file. The path is relative to the operator's file. A
/// shared configuration must not depend on a file that only one balancer has.
pub fn inline_rules_file(path: &Path, text: String) -> Result<String, Box<dyn Error>> {
    let read_rules = |file: &str| {
        let file = path.parent().unwrap_or(Path::new("")).join(file);
        std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))
    };
    match maplehook_config::rules_file(&text) {
        Some(file) => Ok(maplehook_config::with_rules(&text, &read_rules(&file)?)),
        None => Ok(text),
    }
}

/// Reads a text file. Errors name the line of the first byte that is not UTF-8.
pub fn read_utf8_file(path: &Path) -> Result<String, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    String::from_utf8(bytes).map_err(|e| {
        let valid_prefix = &e.as_bytes()[..e.utf8_error().valid_up_to()];
        let line = valid_prefix.iter().filter(|byte| **byte == b'\n').count() + 1;
        format!("{}: line {line}: this is no text in UTF-8", path.display())
    })
}

/// Reads an operator's file and returns its text as well.
pub fn load_operator_with_text(path: &Path) -> Result<(Operator, String), Box<dyn Error>> {
    let text = read_utf8_file(path)?;
    let text = inline_rules_file(path, text)?;
    let operator = maplehook_config::parse(&text).map_err(|e| format!("{}:\n{e}", path.display()))?;
    Ok((operator, text))
}
