//! `where`: where a request would go now, and why.

use std::fmt;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use getopts::{Matches, Options};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use catkinusher_core::dry_run::{Decision, Outcome, Query, Reason, Report, State};
use catkinusher_core::units::Tokens;

use super::{Command, options};
use crate::Invocation;
use crate::failure::{Failure, Result};
use crate::node::{self, NodeError};

/// How long a node may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The candidates that the text shows; the JSON has all.
const SHOWN: usize = 6;

/// Asks a node, or a saved state of one, where it would send a request.
#[derive(Debug)]
pub(crate) enum Where {
    /// Asks a node about a request.
    Node {
        node: SocketAddr,
        query: Query,
        key_file: Option<String>,
        json: bool,
    },
    /// Asks a saved state about a request.
    Saved {
        file: String,
        query: Query,
        json: bool,
    },
    /// Saves the state of a node.
    Save { node: SocketAddr, file: String },
}

impl Command for Where {
    const NAME: &'static str = "where";
    const OPERANDS: &'static str = "(--node IP:PORT | --state FILE) --host HOST --path PATH";
    const ABOUT: &'static str = "Prints where a request would go now, and why: the upstream, the runners-up with each\n\
        term of their scores, and the age of the load information, or the refusal with\n\
        its Retry-After. Nothing is sent, and nothing is reserved or counted. With --save,\n\
        the state of the node is written to a file, which --state reads later.";

    fn options(options: &mut Options) {
        options.optopt("", "node", "the node's health address", "IP:PORT");
        options.optopt(
            "",
            "state",
            "a saved state to ask instead of a node",
            "FILE",
        );
        options.optopt("", "save", "save the state of the node", "FILE");
        options.optopt("", "host", "the host of the request", "HOST");
        options.optopt("", "path", "the path of the request", "PATH");
        options.optopt("", "customer", "the name of the customer", "NAME");
        options.optopt("", "key-file", "a file with the customer's API key", "FILE");
        options.optopt("", "prompt", "the length of the prompt (0)", "TOKENS");
        options.optopt(
            "",
            "answer",
            "the maximum length of the answer (0)",
            "TOKENS",
        );
        options.optflag("", "json", "print JSON, with all candidates");
    }

    fn parse(matches: &Matches, _invocation: &Invocation) -> Result<Self> {
        let [] = options::operands(matches, "no operand", Self::NAME)?;
        let wrong = |text: &str| Failure::Usage(text.to_owned(), Self::NAME);
        let node = options::find(matches, "node", Self::NAME)?;
        let saved = matches.opt_str("state");
        if let Some(file) = matches.opt_str("save") {
            let node = node.filter(|_| saved.is_none());
            let node = node.ok_or_else(|| wrong("--save takes --node and nothing else"))?;
            return Ok(Self::Save { node, file });
        }
        let text = |name| {
            let missing = || wrong(&format!("--{name} is missing"));
            matches.opt_str(name).ok_or_else(missing)
        };
        let tokens = |name| options::find(matches, name, Self::NAME);
        let query = Query {
            host: text("host")?,
            path: text("path")?,
            customer: matches.opt_str("customer"),
            prompt: tokens("prompt")?.unwrap_or(Tokens::ZERO),
            answer: tokens("answer")?.unwrap_or(Tokens::ZERO),
        };
        let key_file = matches.opt_str("key-file");
        let json = matches.opt_present("json");
        match (node, saved) {
            (Some(node), None) => Ok(Self::Node {
                node,
                query,
                key_file,
                json,
            }),
            (None, Some(_)) if key_file.is_some() => {
                Err(wrong("a saved state holds no API keys; give --customer"))
            }
            (None, Some(file)) => Ok(Self::Saved { file, query, json }),
            (None, None) => Err(wrong("--node is missing, or --state")),
            (Some(_), Some(_)) => Err(wrong("give --node or --state, not both")),
        }
    }

    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write,
    {
        match self {
            Self::Node {
                node,
                query,
                key_file,
                json,
            } => {
                let key = key_file.as_deref().map(options::read_file);
                let key = key.transpose()?;
                let key = key.as_deref().map(str::trim);
                let body = node::ask_health(node, &uri(&query), key, TIMEOUT).await?;
                let report =
                    serde_json::from_slice(&body).map_err(|fault| NodeError::Body(node, fault))?;
                print(&report, json, out)
            }
            Self::Saved { file, query, json } => {
                let bytes =
                    std::fs::read(&file).map_err(|fault| Failure::File(file.clone(), fault))?;
                let state: State = ciborium::from_reader(&*bytes)
                    .map_err(|fault| Failure::Saved(file.clone(), fault.to_string()))?;
                let report = state.report(&query);
                let report = report.map_err(|fault| Failure::Absent(format!("{file}: {fault}")))?;
                print(&report, json, out)
            }
            Self::Save { node, file } => {
                let body = node::ask_health(node, "/where?state", None, TIMEOUT).await?;
                std::fs::write(&file, &body).map_err(|fault| Failure::File(file.clone(), fault))?;
                writeln!(out, "saved {} bytes of {node} to {file}", body.len())?;
                Ok(())
            }
        }
    }
}

/// The path and query for a node; an API key is in a header, as URIs are written to logs.
fn uri(query: &Query) -> String {
    let encode = |text: &str| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
    let mut uri = format!(
        "/where?host={}&path={}&prompt={}&answer={}",
        encode(&query.host),
        encode(&query.path),
        query.prompt.get(),
        query.answer.get()
    );
    if let Some(customer) = &query.customer {
        uri.push_str("&customer=");
        uri.push_str(&encode(customer));
    }
    uri
}

fn print<W>(report: &Report, json: bool, out: &mut W) -> Result<()>
where
    W: Write,
{
    if json {
        writeln!(out, "{:#}", serde_json::json!(report))?;
    } else {
        writeln!(out, "{}", Text(report))?;
    }
    Ok(())
}

/// A report as lines.
struct Text<'a>(&'a Report);

impl fmt::Display for Text<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let report = self.0;
        write!(f, "route {} of revision {}", report.route, report.revision)?;
        if let Some(customer) = &report.customer {
            write!(f, ", customer {customer}")?;
        }
        write!(f, ", at node {}", report.node)?;
        if report.decisions.is_empty() {
            write!(f, "\nthe route has no service")?;
        }
        for decision in &report.decisions {
            write_decision(f, decision)?;
        }
        Ok(())
    }
}

fn write_decision(f: &mut fmt::Formatter<'_>, decision: &Decision) -> fmt::Result {
    let Decision {
        service,
        weight,
        cell,
        outcome,
    } = decision;
    write!(f, "\nservice {service} (weight {weight}), cell {cell}: ")?;
    match outcome {
        Outcome::Placed(reason) => write_reason(f, reason),
        Outcome::Waiting => write!(f, "waits for other prompts"),
        Outcome::Unknown => write!(f, "the service is not in the configuration"),
        Outcome::Elsewhere { node } => write!(
            f,
            "not decided here: the node with the peer address {node} places its requests"
        ),
        Outcome::Refused {
            reason,
            detail,
            retry_after_ms,
        } => {
            write!(f, "refused with {reason}: {detail}")?;
            match retry_after_ms {
                Some(after) => write!(f, "; retry after {after} ms"),
                None => Ok(()),
            }
        }
    }
}

fn write_reason(f: &mut fmt::Formatter<'_>, reason: &Reason) -> fmt::Result {
    write!(f, "to {}", reason.upstream)?;
    for helper in &reason.helpers {
        write!(f, " + {helper}")?;
    }
    write!(
        f,
        "\n  {} upstreams considered, {} for short prompts, {} writers; {} ms of prefill pending; ",
        reason.choices, reason.shorts, reason.writers, reason.wait_ms
    )?;
    match reason.age_ms {
        Some(age) => write!(f, "newest report {age} ms old")?,
        None => write!(f, "no reports of other nodes")?,
    }
    for one in reason.candidates.iter().take(SHOWN) {
        write!(f, "\n  {}: score {}", one.upstream, one.score)?;
        for (index, term) in one.terms.iter().enumerate() {
            let sign = if index == 0 { " =" } else { " +" };
            write!(f, "{sign} {} {}", term.name, term.value)?;
        }
        write!(f, "; {} answers, {} parts", one.answers, one.parts)?;
    }
    let others = reason.candidates.len().saturating_sub(SHOWN);
    if others > 0 {
        write!(f, "\n  and {others} more, in the output with --json")?;
    }
    Ok(())
}
