use std::rc::Rc;

use tamarackdock_config::deployment::{Access, Service};
use tamarackdock_types::{
    AccountName,
    key::Hash,
    refusal::{Code, Refusal},
};
use tamarackdock_wire::server::Request;

use super::ending::Ending;
use crate::{
    active::{Active, Key},
    reachability::Gate,
};

const SCHEME: &str = "Bearer ";

/// Returns the key that came with a request, and what ends the call. A node that
/// is cut off refuses first, since a key that it does not know may be valid.
pub(super) fn key<'a>(
    active: &'a Active,
    gate: &Gate,
    request: &Request,
) -> Result<(&'a Key, Ending), Refusal> {
    let cut_off = gate.admit()?;
    let key = known_key(active, request)?;
    Ok((key, Ending::keyed(key.withdrawn.clone(), cut_off)))
}

fn known_key<'a>(active: &'a Active, request: &Request) -> Result<&'a Key, Refusal> {
    let shown = request.header("authorization").and_then(|value| value.strip_prefix(SCHEME));
    let shown = shown.ok_or_else(|| {
        let message = "no key came with the request; send `Authorization: Bearer KEY`";
        Refusal::not_run(Code::Unauthorized, message)
    })?;
    active.key(&Hash::of(shown.trim().as_bytes())).ok_or_else(unknown_key)
}

/// What a caller may use.
pub(super) struct Grant {
    pub(super) service: Rc<Service>,
    /// Client account that the call counts for, `None` on open routes.
    pub(super) account: Option<AccountName>,
    /// What ends the call.
    pub(super) ending: Ending,
}

/// Returns the service that a request may use.
pub(super) fn service(
    active: &Active,
    gate: &Gate,
    request: &Request,
    name: &str,
) -> Result<Grant, Refusal> {
    let found = active.service(name).cloned();
    match found {
        Some(service) if service.access == Access::Open => {
            Ok(Grant { service, account: None, ending: Ending::never() })
        }
        // Without a key, whether a service exists is not told.
        found => {
            let (key, ending) = key(active, gate, request)?;
            match found {
                Some(service) if key.account.services.contains(&service.name) => {
                    Ok(Grant { service, account: Some(key.account.name.clone()), ending })
                }
                Some(_) | None => {
                    let message = format!("the key's account has no service `{name}`");
                    Err(Refusal::not_run(Code::NotFound, message))
                }
            }
        }
    }
}

fn unknown_key() -> Refusal {
    Refusal::not_run(Code::Unauthorized, "the key is not valid; ask the operator for a new one")
}
