use tamarackdock_config::{
    Deployment,
    deployment::{Account, DataCentreState},
};
use tamarackdock_types::{
    key::Hash,
    refusal::{Code, Refusal},
};

use super::parameters::bad_request;

/// A change of a key or of a data centre's state in the newest configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Change {
    /// Adds a key to an account.
    Issue { account: String, key: Hash },
    /// Removes a key from an account.
    Withdraw { account: String, key: Hash },
    /// Takes a data centre out of service or puts it back.
    DataCentre { name: String, state: DataCentreState },
}

impl Change {
    pub(super) fn issue(account: &str, key: &str) -> Result<Self, Refusal> {
        Ok(Self::Issue { account: account.into(), key: hash(key)? })
    }

    pub(super) fn withdraw(account: &str, key: &str) -> Result<Self, Refusal> {
        Ok(Self::Withdraw { account: account.into(), key: hash(key)? })
    }

    /// Applies the change to a configuration. Nothing changes if it is already in effect.
    pub(super) fn apply(&self, deployment: &mut Deployment) -> Result<(), Refusal> {
        match self {
            Self::Issue { account, key } => issue(deployment, account, *key),
            Self::Withdraw { account, key } => withdraw(deployment, account, *key),
            Self::DataCentre { name, state } => {
                let mut data_centres = deployment.data_centres.iter_mut();
                let data_centre =
                    data_centres.find(|data_centre| data_centre.name.as_str() == name);
                let message = || not_found(format!("there is no data centre `{name}`"));
                data_centre.ok_or_else(message)?.state = *state;
                Ok(())
            }
        }
    }
}

fn issue(deployment: &mut Deployment, account: &str, key: Hash) -> Result<(), Refusal> {
    let owner = deployment.accounts.iter().find(|known| known.keys.contains(&key));
    match owner.map(|owner| owner.name.as_str() == account) {
        Some(true) => Ok(()),
        Some(false) => {
            let message = "the key belongs to another account; issue a new key";
            Err(Refusal::not_run(Code::Conflict, message))
        }
        None => {
            find_account(deployment, account)?.keys.push(key);
            Ok(())
        }
    }
}

/// Removes a key from an account. An unknown key is an error, since a mistyped hash must not
/// be taken for a withdrawn key.
fn withdraw(deployment: &mut Deployment, account: &str, key: Hash) -> Result<(), Refusal> {
    let found = find_account(deployment, account)?;
    if !found.keys.contains(&key) {
        return Err(not_found(format!("account `{account}` has no key with this hash")));
    }
    found.keys.retain(|known| *known != key);
    Ok(())
}

fn find_account<'a>(
    deployment: &'a mut Deployment,
    account: &str,
) -> Result<&'a mut Account, Refusal> {
    let mut accounts = deployment.accounts.iter_mut();
    let found = accounts.find(|known| known.name.as_str() == account);
    found.ok_or_else(|| not_found(format!("there is no account `{account}`")))
}

fn hash(text: &str) -> Result<Hash, Refusal> {
    Hash::parse(text).map_err(|error| bad_request(&error.to_string()))
}

fn not_found(message: String) -> Refusal {
    Refusal::not_run(Code::NotFound, message)
}
