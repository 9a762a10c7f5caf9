use std::rc::Rc;

use tamarackdock_config::deployment::{Access, Service};
use tamarackdock_types::{
    AccountName,
    key::Hash,
    refusal::{Code, Refusal},
};
use tamarackdock_wire::{flag::Flag, server::Request};

use crate::active::{Active, Key};

const SCHEME: &str = "Bearer ";

/// Returns the key that came with a request.
pub(crate) fn key<'a>(active: &'a Active, request: &Request) -> Result<&'a Key, Refusal> {
    let shown = request.header("authorization").and_then(|value| value.strip_prefix(SCHEME));
    let shown = shown.ok_or_else(|| {
        let message = "no key came with the request; send `Authorization: Bearer KEY`";
        Refusal::not_run(Code::Unauthorized, message)
    })?;
    active.key(&Hash::of(shown.trim().as_bytes())).ok_or_else(unknown_key)
}

/// What a caller may use.
pub(crate) struct Grant {
    pub(crate) service: Rc<Service>,
    /// Client account that the call counts for, `None` on open routes.
    pub(crate) account: Option<AccountName>,
    /// Raised when the call must end.
    pub(crate) withdrawn: Flag,
}

/// Returns the service that a request may use.
pub(crate) fn service(active: &Active, request: &Request, name: &str) -> Result<Grant, Refusal> {
    let found = active.service(name).cloned();
    match found {
        Some(service) if service.access == Access::Open => {
            Ok(Grant { service, account: None, withdrawn: Flag::new() })
        }
        // Without a key, whether a service exists is not told.
        found => {
            let key = key(active, request)?;
            match found {
                Some(service) if key.account.services.contains(&service.name) => {
                    let account = Some(key.account.name.clone());
                    Ok(Grant { service, account, withdrawn: key.withdrawn.clone() })
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

/// The refusal of a call whose key was withdrawn while it ran.
pub(crate) fn withdrawn() -> Refusal {
    Refusal::unknown(Code::Unauthorized, "the key was withdrawn while the call ran")
}
