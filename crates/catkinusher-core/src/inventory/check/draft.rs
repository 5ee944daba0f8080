//! The parts of an inventory that other parts are checked against, with their places.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::id::{CustomerId, DataCentreId, ModelId, RegionId, ServiceId, UpstreamId, VmId};
use crate::inventory::{ServiceKind, default_cap};
use crate::toml_check::{Entry, Expect, Line, Section};
use crate::units::{Rate, Span, Tokens};

/// How many hexadecimal digits a SHA-256 has.
const SHA256_DIGITS: usize = 64;

/// What a count expects that must not be zero.
const ABOVE_ZERO: &str = "a number above 0";

/// What a span expects that must not be zero.
const SPAN_ABOVE_ZERO: &str = "a span above 0";

impl Expect for ServiceKind {
    const EXPECTED: &'static str = "\"model\" or \"plain\"";
}

/// A SHA-256 in hexadecimal.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(transparent)]
pub(super) struct Digest(String);

impl Digest {
    fn is_whole(&self) -> bool {
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        self.0.len() == SHA256_DIGITS && self.0.bytes().all(digit)
    }
}

impl Expect for Digest {
    const EXPECTED: &'static str = "a SHA-256 in 64 digits 0-9 and a-f";
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

#[derive(Debug)]
pub(super) struct Draft {
    pub(super) data_centres: Vec<Entry<DataCentreId>>,
    pub(super) vms: Vec<VmDraft>,
    pub(super) services: Vec<ServiceDraft>,
    pub(super) upstreams: Vec<UpstreamDraft>,
    pub(super) customers: Vec<CustomerDraft>,
    pub(super) rules: Vec<RuleDraft>,
}

#[derive(Debug)]
pub(super) struct VmDraft {
    pub(super) name: Option<Entry<VmId>>,
    pub(super) data_centre: Option<Entry<DataCentreId>>,
}

#[derive(Debug)]
pub(super) struct ServiceDraft {
    pub(super) name: Option<Entry<ServiceId>>,
    pub(super) models: Vec<Entry<ModelId>>,
}

#[derive(Debug)]
pub(super) struct UpstreamDraft {
    pub(super) name: Option<Entry<UpstreamId>>,
    pub(super) service: Option<Entry<ServiceId>>,
    pub(super) vm: Option<Entry<VmId>>,
    pub(super) address: Option<Entry<SocketAddr>>,
}

#[derive(Debug)]
pub(super) struct CustomerDraft {
    pub(super) name: Option<Entry<CustomerId>>,
    pub(super) key: Option<Entry<Digest>>,
    pub(super) services: Vec<Entry<ServiceId>>,
}

#[derive(Debug)]
pub(super) struct RuleDraft {
    pub(super) line: Line,
    pub(super) key: String,
    pub(super) service: Option<Entry<ServiceId>>,
    pub(super) method: Option<Entry<String>>,
    pub(super) path: Option<Entry<String>>,
}

impl Draft {
    /// Reads each table and notes its faults in `root`.
    pub(super) fn read(root: &mut Section<'_>) -> Self {
        let data_centres = each(root, "data_centre", data_centre);
        let services = each(root, "service", service);
        if data_centres.is_empty() {
            root.missing("data_centre", "at least one table `[[data_centre]]`");
        }
        if services.is_empty() {
            root.missing("service", "at least one table `[[service]]`");
        }
        Self {
            data_centres: data_centres.into_iter().flatten().collect(),
            vms: each(root, "vm", vm),
            services,
            upstreams: each(root, "upstream", upstream),
            customers: each(root, "customer", customer),
            rules: each(root, "rule", rule),
        }
    }
}

fn each<T, F>(root: &mut Section<'_>, key: &'static str, read: F) -> Vec<T>
where
    F: Fn(&mut Section<'_>) -> T,
{
    let mut drafts = Vec::new();
    for mut section in root.tables(key) {
        drafts.push(read(&mut section));
        root.join(section);
    }
    drafts
}

fn data_centre(section: &mut Section<'_>) -> Option<Entry<DataCentreId>> {
    let name = section.need("name");
    section.need::<RegionId>("region");
    section.find::<bool>("drained");
    name
}

fn vm(section: &mut Section<'_>) -> VmDraft {
    let draft = VmDraft {
        name: section.need("name"),
        data_centre: section.need("data_centre"),
    };
    section.find::<bool>("drained");
    draft
}

fn service(section: &mut Section<'_>) -> ServiceDraft {
    let name = section.need("name");
    let kind = section.need::<ServiceKind>("kind");
    let models = section.list("models");
    times(section);
    let concurrency = section.find::<u32>("concurrency");
    section.ensure(concurrency.as_ref(), ABOVE_ZERO, |count| *count > 0);
    let engine = section.table("engine");
    match kind.map(|entry| entry.value) {
        Some(ServiceKind::Model) => {
            if models.is_empty() {
                section.missing("models", "at least one model of a model service");
            }
            if !section.has("engine") {
                section.missing("engine", "the limits of a model service's engines");
            }
            refuse(section, concurrency.as_ref());
        }
        Some(ServiceKind::Plain) => {
            refuse(section, models.first());
            if let Some(engine) = &engine {
                section.note(engine.fault("a table", "nothing for a plain service"));
            }
        }
        None => {}
    }
    if let Some(mut engine) = engine {
        limits(&mut engine);
        section.join(engine);
    }
    ServiceDraft { name, models }
}

/// Notes a key that the other kind of service has.
fn refuse<T>(section: &mut Section<'_>, entry: Option<&Entry<T>>)
where
    T: std::fmt::Display,
{
    if let Some(entry) = entry {
        let found = format!("`{}`", entry.value);
        section.note(entry.fault(found, "nothing for a service of this kind"));
    }
}

fn times(section: &mut Section<'_>) {
    let timeout = section.find::<Span>("timeout");
    let cap = section.find::<Span>("timeout_cap");
    let above_zero = |span: &Span| !span.get().is_zero();
    section.ensure(timeout.as_ref(), SPAN_ABOVE_ZERO, above_zero);
    section.ensure(cap.as_ref(), SPAN_ABOVE_ZERO, above_zero);
    if cap.is_none() && section.has("timeout_cap") {
        return;
    }
    let most = cap.map_or_else(default_cap, |entry| entry.value);
    let expected = format!("at most the timeout_cap of {most}");
    section.ensure(timeout.as_ref(), &expected, |span| *span <= most);
}

fn limits(section: &mut Section<'_>) {
    let memory = section.need::<Tokens>("memory");
    let prefill = section.need::<Rate>("prefill");
    let decode = section.need::<Rate>("decode");
    let streams = section.need::<u32>("streams");
    let chunk = section.find::<Tokens>("chunk");
    let cold = section.find::<u32>("cold_streams");
    section.find::<bool>("fencing");
    section.find::<bool>("kv_transfer");
    let positive = |rate: &Rate| rate.get().is_finite() && rate.get() > 0.0;
    let some = |tokens: &Tokens| *tokens > Tokens::ZERO;
    section.ensure(memory.as_ref(), ABOVE_ZERO, some);
    section.ensure(prefill.as_ref(), ABOVE_ZERO, positive);
    section.ensure(decode.as_ref(), ABOVE_ZERO, positive);
    section.ensure(streams.as_ref(), ABOVE_ZERO, |count| *count > 0);
    section.ensure(chunk.as_ref(), ABOVE_ZERO, some);
    section.ensure(cold.as_ref(), ABOVE_ZERO, |count| *count > 0);
    if let Some(streams) = streams {
        let expected = format!("at most the engine's {} streams", streams.value);
        section.ensure(cold.as_ref(), &expected, |count| *count <= streams.value);
    }
}

fn upstream(section: &mut Section<'_>) -> UpstreamDraft {
    let draft = UpstreamDraft {
        name: section.need("name"),
        service: section.need("service"),
        vm: section.need("vm"),
        address: section.need("address"),
    };
    section.ensure(draft.address.as_ref(), "a port above 0", |address| {
        address.port() > 0
    });
    section.find::<bool>("drained");
    draft
}

fn customer(section: &mut Section<'_>) -> CustomerDraft {
    let name = section.need("name");
    let key = section.need::<Digest>("key_sha256");
    let weight = section.find::<u32>("weight");
    let limit = section.find::<u32>("open_limit");
    section.ensure(key.as_ref(), Digest::EXPECTED, Digest::is_whole);
    section.ensure(weight.as_ref(), ABOVE_ZERO, |count| *count > 0);
    section.ensure(limit.as_ref(), ABOVE_ZERO, |count| *count > 0);
    CustomerDraft {
        name,
        key,
        services: section.list("services"),
    }
}

fn rule(section: &mut Section<'_>) -> RuleDraft {
    let service = section.need("service");
    let method = section.find::<String>("method");
    let path = section.find::<String>("path");
    section.need::<bool>("idempotent");
    let life = section.find::<Span>("key_life");
    section.ensure(
        method.as_ref(),
        "a method in capitals, such as POST",
        |text| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_uppercase()),
    );
    section.ensure(path.as_ref(), "a path that begins with /", |text| {
        text.starts_with('/')
    });
    section.ensure(life.as_ref(), SPAN_ABOVE_ZERO, |span| !span.get().is_zero());
    RuleDraft {
        line: section.line(),
        key: section.path().to_owned(),
        service,
        method,
        path,
    }
}
