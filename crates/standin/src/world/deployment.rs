use std::net::SocketAddr;

use tamarackdock_config::{
    Deployment,
    deployment::{
        Access, Account, Class, DataCentre, DataCentreState, Kind, Role, Service, Target, Trainer,
    },
};
use tamarackdock_types::{
    AccountName, DataCentreName, NameError, ServiceName, TargetName, TrainerName, key::Hash,
};

use super::{MODEL, Options};

/// Name of a world's plain service.
pub(super) const PLAIN: &str = "parcels";

/// Builds a world's configuration for engines and plain services at the given addresses.
pub(super) fn build(
    options: &Options,
    engines: &[SocketAddr],
    plain: &[SocketAddr],
) -> Result<Deployment, NameError> {
    let services = vec![service(MODEL, Kind::Model, true)?, service(PLAIN, Kind::Plain, false)?];
    let names: Vec<_> = services.iter().map(|service| service.name.clone()).collect();
    let account = |(name, weight): &(&str, u32)| {
        Ok(Account {
            name: AccountName::new(name)?,
            weight: *weight,
            keys: vec![Hash::of(format!("{name}-key").as_bytes())],
            services: names.clone(),
        })
    };
    let trainer = |name: &&str| {
        Ok(Trainer {
            name: TrainerName::new(name)?,
            account: AccountName::new(name)?,
            service: ServiceName::new(MODEL)?,
            staleness_bound: options.staleness_bound,
        })
    };
    let data_centre = |name: &str| {
        Ok(DataCentre {
            name: DataCentreName::new(name)?,
            region: "r1".into(),
            state: DataCentreState::In,
        })
    };
    let mut targets = Vec::new();
    for (index, (address, (data_centre_name, training))) in
        engines.iter().zip(&options.engines).enumerate()
    {
        let role = if *training { Role::Training } else { Role::App };
        let target =
            target(&format!("e{index}"), MODEL, data_centre_name, *address, role, options)?;
        let is_cheap = options.cheap_engines.contains(&index);
        let class = if is_cheap { Class::Cheap } else { Class::Ordinary };
        let target = Target { class, ..target };
        for copy in 1..options.targets_per_engine {
            let name = TargetName::new(&format!("e{index}-{copy}"))?;
            targets.push(Target { name, ..target.clone() });
        }
        targets.push(target);
    }
    for (index, (address, data_centre_name)) in
        plain.iter().zip(&options.plain_services).enumerate()
    {
        targets.push(target(
            &format!("s{index}"),
            PLAIN,
            data_centre_name,
            *address,
            Role::App,
            options,
        )?);
    }
    Ok(Deployment {
        services,
        accounts: options.accounts.iter().map(account).collect::<Result<_, _>>()?,
        trainers: options.trainers.iter().map(trainer).collect::<Result<_, _>>()?,
        data_centres: options
            .data_centres()
            .into_iter()
            .map(data_centre)
            .collect::<Result<_, _>>()?,
        targets,
        limits: options.limits.clone(),
    })
}

fn service(name: &str, kind: Kind, idempotent: bool) -> Result<Service, NameError> {
    Ok(Service { name: ServiceName::new(name)?, kind, access: Access::Keyed, idempotent })
}

fn target(
    name: &str,
    service: &str,
    data_centre: &str,
    address: SocketAddr,
    role: Role,
    options: &Options,
) -> Result<Target, NameError> {
    Ok(Target {
        name: TargetName::new(name)?,
        service: ServiceName::new(service)?,
        data_centre: DataCentreName::new(data_centre)?,
        address,
        class: Class::Ordinary,
        role,
        checks_epoch: options.engine.checks_epoch,
        capacity: u32::try_from(options.engine.capacity).unwrap_or(u32::MAX),
        cold_capacity: u32::try_from(options.engine.cold_capacity.min(options.engine.capacity))
            .unwrap_or(u32::MAX),
    })
}
