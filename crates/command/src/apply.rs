//! Applies a batch of changes to a configuration document, completely or not at all.

use crate::statement::{ChangeBatch, ChangeStatement, RuleChange, ServerChange, ServiceChange};
use model::document::ServiceConfig;
use model::{
    BackendServer, ChangeId, ConfigDocument, ConfigVersion, IncarnationId, InstanceName,
    RoutePrefix, RouteRule, ServerBuilder, ServerName, ServiceName,
};
use std::fmt;

/// Reason why a batch cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyError {
    /// The batch requires another version.
    VersionMismatch {
        /// Version that the batch requires.
        expected: ConfigVersion,
        /// Version of the document.
        found: ConfigVersion,
    },
    /// The service does not exist.
    UnknownService(ServiceName),
    /// The backend server does not exist in the service.
    UnknownServer(ServiceName, ServerName),
    /// The service has no rule for the route.
    UnknownRule(ServiceName, RoutePrefix),
    /// No live instance has this name.
    UnknownInstance(InstanceName),
    /// The service already exists.
    ServiceExists(ServiceName),
    /// The backend server already exists in the service.
    ServerExists(ServiceName, ServerName),
    /// The service already has a rule for the route.
    RuleExists(ServiceName, RoutePrefix),
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VersionMismatch { expected, found } => {
                write!(f, "expected version {expected}, found version {found}")
            }
            Self::UnknownService(service) => write!(f, "no service {service}"),
            Self::UnknownServer(service, server) => {
                write!(f, "no backend server {server} in service {service}")
            }
            Self::UnknownRule(service, route) => {
                write!(f, "no rule for {route} in service {service}")
            }
            Self::UnknownInstance(instance) => write!(f, "no live instance {instance}"),
            Self::ServiceExists(service) => write!(f, "service {service} already exists"),
            Self::ServerExists(service, server) => {
                write!(f, "backend server {server} already exists in service {service}")
            }
            Self::RuleExists(service, route) => {
                write!(f, "rule for {route} already exists in service {service}")
            }
        }
    }
}

impl std::error::Error for ApplyError {}

/// Returns the next version of `document`, with the change `id` recorded.
///
/// `find_instance` returns the incarnation of a live instance.
///
/// # Errors
/// The version is not the required one, or a statement cannot be applied.
pub fn apply_batch(
    document: &ConfigDocument,
    batch: &ChangeBatch,
    id: ChangeId,
    find_instance: impl Fn(&InstanceName) -> Option<IncarnationId>,
) -> Result<ConfigDocument, ApplyError> {
    if let Some(expected) = batch.if_version
        && expected != document.version
    {
        return Err(ApplyError::VersionMismatch { expected, found: document.version });
    }
    let mut next = document.clone();
    next.record_change(id);
    for statement in &batch.statements {
        apply_statement(&mut next, statement, &find_instance)?;
    }
    Ok(next)
}

fn apply_statement(
    document: &mut ConfigDocument,
    statement: &ChangeStatement,
    find_instance: &impl Fn(&InstanceName) -> Option<IncarnationId>,
) -> Result<(), ApplyError> {
    use ChangeStatement as Change;
    match statement {
        Change::CreateService { service, change } => create_service(document, service, change),
        Change::AlterService { service, change } => {
            set_service(find_service(document, service)?, change);
            Ok(())
        }
        Change::DropService { service } => match document.services.remove(service) {
            Some(_) => Ok(()),
            None => Err(ApplyError::UnknownService(service.clone())),
        },
        Change::CreateServer { service, server, address, change } => {
            let incarnation = IncarnationId(document.version.0);
            let mut built = ServerBuilder::new(*address).incarnation(incarnation).build();
            set_server(&mut built, change);
            let config = find_service(document, service)?;
            if config.servers.contains_key(server) {
                return Err(ApplyError::ServerExists(service.clone(), server.clone()));
            }
            config.servers.insert(server.clone(), built);
            Ok(())
        }
        Change::AlterServer { service, server, change } => {
            set_server(find_server(document, service, server)?, change);
            Ok(())
        }
        Change::DropServer { service, server } => {
            match find_service(document, service)?.servers.remove(server) {
                Some(_) => Ok(()),
                None => Err(ApplyError::UnknownServer(service.clone(), server.clone())),
            }
        }
        Change::DrainServer { service, server } => {
            find_server(document, service, server)?.draining = true;
            Ok(())
        }
        Change::DrainInstance { instance } => {
            let Some(incarnation) = find_instance(instance) else {
                return Err(ApplyError::UnknownInstance(instance.clone()));
            };
            document.draining_instances.insert(instance.clone(), incarnation);
            Ok(())
        }
        Change::CreateRule { service, route, change } => {
            let config = find_service(document, service)?;
            if config.rules.contains_key(route) {
                return Err(ApplyError::RuleExists(service.clone(), route.clone()));
            }
            let rule = RouteRule { class: change.class, idempotent: change.idempotent };
            config.rules.insert(route.clone(), rule);
            Ok(())
        }
        Change::AlterRule { service, route, change } => {
            let Some(rule) = find_service(document, service)?.rules.get_mut(route) else {
                return Err(ApplyError::UnknownRule(service.clone(), route.clone()));
            };
            set_rule(rule, change);
            Ok(())
        }
        Change::DropRule { service, route } => {
            match find_service(document, service)?.rules.remove(route) {
                Some(_) => Ok(()),
                None => Err(ApplyError::UnknownRule(service.clone(), route.clone())),
            }
        }
    }
}

fn create_service(
    document: &mut ConfigDocument,
    service: &ServiceName,
    change: &ServiceChange,
) -> Result<(), ApplyError> {
    if document.services.contains_key(service) {
        return Err(ApplyError::ServiceExists(service.clone()));
    }
    let mut config = ServiceConfig::default();
    set_service(&mut config, change);
    document.services.insert(service.clone(), config);
    Ok(())
}

fn find_service<'a>(
    document: &'a mut ConfigDocument,
    service: &ServiceName,
) -> Result<&'a mut ServiceConfig, ApplyError> {
    document.services.get_mut(service).ok_or_else(|| ApplyError::UnknownService(service.clone()))
}

fn find_server<'a>(
    document: &'a mut ConfigDocument,
    service: &ServiceName,
    server: &ServerName,
) -> Result<&'a mut BackendServer, ApplyError> {
    find_service(document, service)?
        .servers
        .get_mut(server)
        .ok_or_else(|| ApplyError::UnknownServer(service.clone(), server.clone()))
}

fn set_service(config: &mut ServiceConfig, change: &ServiceChange) {
    config.deadline = change.deadline.unwrap_or(config.deadline);
    config.keep = change.keep.unwrap_or(config.keep);
    config.long_yield = change.long_yield.unwrap_or(config.long_yield);
    config.homes = change.homes.unwrap_or(config.homes);
    config.probe_rate = change.probe_rate.unwrap_or(config.probe_rate);
}

fn set_server(server: &mut BackendServer, change: &ServerChange) {
    server.slots = change.slots.unwrap_or(server.slots);
    server.connections = change.connections.unwrap_or(server.connections);
    if let Some(centre) = &change.data_centre {
        server.data_centre = Some(centre.clone());
    }
}

fn set_rule(rule: &mut RouteRule, change: &RuleChange) {
    rule.class = change.class.or(rule.class);
    rule.idempotent = change.idempotent.or(rule.idempotent);
}
