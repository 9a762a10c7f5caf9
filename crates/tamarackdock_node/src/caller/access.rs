use std::rc::Rc;

use tamarackdock_config::deployment::{Access, Service};
use tamarackdock_types::{
    AccountName,
    key::Hash,
    refusal::{Code, Refusal},
};
use tamarackdock_wire::server::Request;

use super::cancellation::Cancellation;
use crate::{
    active::{Active, Key},
    reachability::Gate,
};

const SCHEME: &str = "Bearer ";

/// Authenticates a request by its key. A node that is cut off refuses before it looks the
/// key up, since a key that it does not know may be valid.
pub(super) fn authenticate<'a>(
    active: &'a Active,
    gate: &Gate,
    request: &Request,
) -> Result<(&'a Key, Cancellation), Refusal> {
    let cut_off = gate.admit()?;
    let key = find_key(active, request)?;
    Ok((key, Cancellation::keyed(key.withdrawn.clone(), cut_off)))
}

fn find_key<'a>(active: &'a Active, request: &Request) -> Result<&'a Key, Refusal> {
    let token = request.header("authorization").and_then(|value| value.strip_prefix(SCHEME));
    let token = token.ok_or_else(|| {
        let message = "no key came with the request; send `Authorization: Bearer KEY`";
        Refusal::not_run(Code::Unauthorized, message)
    })?;
    active.key(&Hash::of(token.trim().as_bytes())).ok_or_else(invalid_key_refusal)
}

/// The service that a caller is authorized to call.
pub(super) struct Authorization {
    pub(super) service: Rc<Service>,
    /// Client account that the call counts for, `None` on open routes.
    pub(super) account: Option<AccountName>,
    pub(super) cancellation: Cancellation,
}

/// Returns the service `name` if the request may use it: if the service is open, or if the
/// account of the request's key has it.
pub(super) fn authorize(
    active: &Active,
    gate: &Gate,
    request: &Request,
    name: &str,
) -> Result<Authorization, Refusal> {
    let found = active.service(name).cloned();
    match found {
        Some(service) if service.access == Access::Open => {
            Ok(Authorization { service, account: None, cancellation: Cancellation::never() })
        }
        // A caller without a key isn't told whether a service exists.
        found => {
            let (key, cancellation) = authenticate(active, gate, request)?;
            match found {
                Some(service) if key.account.services.contains(&service.name) => {
                    Ok(Authorization {
                        service,
                        account: Some(key.account.name.clone()),
                        cancellation,
                    })
                }
                Some(_) | None => {
                    let message = format!("the key's account has no service `{name}`");
                    Err(Refusal::not_run(Code::NotFound, message))
                }
            }
        }
    }
}

fn invalid_key_refusal() -> Refusal {
    Refusal::not_run(Code::Unauthorized, "the key is not valid; ask the operator for a new one")
}
