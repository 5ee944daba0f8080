//! Faults between the parts of an inventory: names twice, names that lead nowhere, rules in vain.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use crate::toml_check::{Entry, Fault};

use super::draft::{Draft, RuleDraft};

/// The first parts of paths that the daemon answers itself, so that no service can have them.
const RESERVED: [&str; 4] = ["v1", "healthz", "readyz", "admin"];

pub(super) fn faults(draft: &Draft) -> Vec<Fault> {
    let mut faults = Vec::new();
    names(draft, &mut faults);
    references(draft, &mut faults);
    reserved(draft, &mut faults);
    rules(draft, &mut faults);
    faults
}

fn names(draft: &Draft, faults: &mut Vec<Fault>) {
    unique(draft.data_centres.iter(), faults);
    unique(draft.vms.iter().flat_map(|vm| &vm.name), faults);
    unique(
        draft.services.iter().flat_map(|service| &service.name),
        faults,
    );
    unique(
        draft.services.iter().flat_map(|service| &service.models),
        faults,
    );
    unique(
        draft.upstreams.iter().flat_map(|upstream| &upstream.name),
        faults,
    );
    unique(
        draft
            .upstreams
            .iter()
            .flat_map(|upstream| &upstream.address),
        faults,
    );
    unique(
        draft.customers.iter().flat_map(|customer| &customer.name),
        faults,
    );
    unique(
        draft.customers.iter().flat_map(|customer| &customer.key),
        faults,
    );
}

fn unique<'a, I, T>(entries: I, faults: &mut Vec<Fault>)
where
    I: Iterator<Item = &'a Entry<T>>,
    T: Ord + Display + 'a,
{
    let mut seen = BTreeMap::new();
    for entry in entries {
        match seen.get(&entry.value) {
            Some(line) => {
                let found = format!("`{}` a second time", entry.value);
                let expected = format!("another than the one of line {line}");
                faults.push(entry.fault(found, expected));
            }
            None => {
                seen.insert(&entry.value, entry.line);
            }
        }
    }
}

fn references(draft: &Draft, faults: &mut Vec<Fault>) {
    let data_centres = known(draft.data_centres.iter());
    let vms = known(draft.vms.iter().flat_map(|vm| &vm.name));
    let services = known(draft.services.iter().flat_map(|service| &service.name));

    let uses = draft.vms.iter().flat_map(|vm| &vm.data_centre);
    dangling(uses, &data_centres, "data_centre", faults);
    let uses = draft.upstreams.iter().flat_map(|upstream| &upstream.vm);
    dangling(uses, &vms, "vm", faults);
    let uses = draft
        .upstreams
        .iter()
        .flat_map(|upstream| &upstream.service);
    dangling(uses, &services, "service", faults);
    let uses = draft
        .customers
        .iter()
        .flat_map(|customer| &customer.services);
    dangling(uses, &services, "service", faults);
    let uses = draft.rules.iter().flat_map(|rule| &rule.service);
    dangling(uses, &services, "service", faults);
}

fn known<'a, I, T>(entries: I) -> BTreeSet<&'a T>
where
    I: Iterator<Item = &'a Entry<T>>,
    T: Ord + 'a,
{
    entries.map(|entry| &entry.value).collect()
}

fn dangling<'a, I, T>(entries: I, known: &BTreeSet<&T>, table: &str, faults: &mut Vec<Fault>)
where
    I: Iterator<Item = &'a Entry<T>>,
    T: Ord + Display + 'a,
{
    for entry in entries.filter(|entry| !known.contains(&entry.value)) {
        let found = format!("`{}`", entry.value);
        faults.push(entry.fault(found, format!("the name of a `[[{table}]]`")));
    }
}

fn reserved(draft: &Draft, faults: &mut Vec<Fault>) {
    for name in draft.services.iter().flat_map(|service| &service.name) {
        if RESERVED.contains(&name.value.as_str()) {
            let found = format!("`{}`", name.value);
            let expected = "another name, as the daemon answers such paths itself";
            faults.push(name.fault(found, expected));
        }
    }
}

/// Notes each rule that never decides, because an earlier one fits all its calls.
fn rules(draft: &Draft, faults: &mut Vec<Fault>) {
    for (index, rule) in draft.rules.iter().enumerate() {
        let before = &draft.rules[..index];
        if let Some(first) = before.iter().find(|first| covers(first, rule)) {
            faults.push(Fault {
                line: rule.line,
                key: rule.key.clone(),
                found: "a rule that never decides".to_owned(),
                expected: format!("it above the wider rule of line {}", first.line),
            });
        }
    }
}

fn covers(wide: &RuleDraft, narrow: &RuleDraft) -> bool {
    let service = match (&wide.service, &narrow.service) {
        (Some(wide), Some(narrow)) => wide.value == narrow.value,
        _ => false,
    };
    let method = match (&wide.method, &narrow.method) {
        (None, _) => true,
        (Some(wide), Some(narrow)) => wide.value == narrow.value,
        (Some(_), None) => false,
    };
    let path = match (&wide.path, &narrow.path) {
        (None, _) => true,
        (Some(wide), Some(narrow)) => narrow.value.starts_with(&wide.value),
        (Some(_), None) => false,
    };
    service && method && path
}
