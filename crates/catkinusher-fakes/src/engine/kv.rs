//! KV cache that moves between engines, and memory held for a group.

use std::net::SocketAddr;

use catkinusher_core::id::RequestId;
use catkinusher_core::units::Tokens;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::core::{Core, Export};
use super::peer;
use super::route::{Api, parse};
use super::stream::End;
use crate::batch::Refusal;
use crate::serve::{Body, json, refuse, status};

#[derive(Deserialize)]
struct ExportCall {
    id: RequestId,
}

#[derive(Deserialize)]
struct ImportCall {
    id: RequestId,
    handle: String,
    from: SocketAddr,
    tokens: Tokens,
}

#[derive(Deserialize)]
struct ReserveCall {
    id: RequestId,
    tokens: Tokens,
}

/// The answer to an export.
#[derive(Serialize, Deserialize)]
pub(super) struct Exported {
    handle: String,
    pub(super) tokens: u64,
}

impl Api {
    pub(super) async fn export(&self, request: Request<Incoming>) -> Response<Body> {
        let call = match parse::<ExportCall>(request).await {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        let export = self.0.with(|core, _| export(core, &call.id));
        match export {
            Some(export) => exported(export),
            None => refuse(StatusCode::NOT_FOUND, "no KV cache of it stands here"),
        }
    }

    pub(super) fn exported(&self, handle: &str) -> Response<Body> {
        let found = self.0.with(|core, _| {
            let mut exports = core.exports.iter();
            exports.find(|export| export.handle == handle).cloned()
        });
        match found {
            Some(export) => exported(export),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    pub(super) async fn import(&self, request: Request<Incoming>) -> Response<Body> {
        let call = match parse::<ImportCall>(request).await {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        let standing = peer::exported(call.from, &call.handle).await;
        if standing.is_none_or(|tokens| tokens < call.tokens.get()) {
            return refuse(StatusCode::NOT_FOUND, "the other engine does not hold it");
        }
        let import = self
            .0
            .with(|core, now| core.batch.import(&call.id, call.tokens, now));
        held(import)
    }

    pub(super) async fn reserve(&self, request: Request<Incoming>) -> Response<Body> {
        let call = match parse::<ReserveCall>(request).await {
            Ok(call) => call,
            Err(reply) => return reply,
        };
        let reserve = self
            .0
            .with(|core, now| core.batch.reserve(&call.id, call.tokens, now));
        held(reserve)
    }
}

fn exported(export: Export) -> Response<Body> {
    let exported = Exported {
        handle: export.handle,
        tokens: export.tokens,
    };
    json(StatusCode::OK, &exported)
}

fn held(outcome: Result<(), Refusal>) -> Response<Body> {
    match outcome {
        Ok(()) => status(StatusCode::OK),
        Err(refusal) => refuse(StatusCode::INSUFFICIENT_STORAGE, &refusal.to_string()),
    }
}

/// The KV cache of a request that runs, is held, or has ended and is not yet forgotten.
fn export(core: &mut Core, id: &RequestId) -> Option<Export> {
    let tokens = match core.batch.prefilled(id) {
        Some(tokens) => tokens,
        None => match core.streams.get(id)?.progress.borrow().end? {
            End::Finished(usage) => usage.prompt,
            End::Cancelled | End::Dropped => return None,
        },
    };
    let handle = format!("kv-{}-{id}", core.batch.incarnation().get());
    let export = Export {
        handle,
        tokens: tokens.get(),
    };
    core.exports.retain(|old| old.handle != export.handle);
    core.remember(export.clone());
    Some(export)
}
