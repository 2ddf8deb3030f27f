//! Parses a batch of statements.

use crate::lex::{TextPosition, Token, TokenKind, split_tokens};
use crate::statement::{
    BatchKind, ChangeBatch, ChangeStatement, QueryStatement, RuleChange, ServerChange,
    ServiceChange,
};
use model::{ConfigVersion, HomeCount, ProbeRate, RoutePrefix, ServerName, ServiceName, SlotCount};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use std::fmt;
use std::str::FromStr;

/// Maximum probe budget, in probes per second for each backend server.
pub const PROBE_RATE_MAX: f64 = 100.0;

/// Syntax error in the text of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// Position of the unexpected token or character.
    pub position: TextPosition,
    /// Description of what would be valid there.
    pub expected: SmolStr,
    /// The token found there.
    pub found: SmolStr,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}, found {}", self.position, self.expected, self.found)
    }
}

impl std::error::Error for ParseError {}

enum Statement {
    Change(ChangeStatement),
    Query(QueryStatement),
}

/// Parses `text` as one batch.
///
/// # Errors
/// The first syntax error, or a batch with both changes and queries.
pub fn parse_batch(text: &str) -> Result<BatchKind, ParseError> {
    let tokens = split_tokens(text).map_err(|position| ParseError {
        position,
        expected: "a word, a quoted string or one of ; , ( ) =".into(),
        found: "another character or an unterminated quote".into(),
    })?;
    BatchParser { tokens, next: 0 }.batch()
}

struct BatchParser {
    tokens: Vec<Token>,
    next: usize,
}

impl BatchParser {
    fn batch(mut self) -> Result<BatchKind, ParseError> {
        let if_version = self.version_guard()?;
        let mut changes = Vec::new();
        let mut queries = Vec::new();
        loop {
            while self.take_punctuation(';') {}
            if self.peek().kind == TokenKind::End {
                break;
            }
            let start = self.next;
            match self.statement()? {
                Statement::Change(change) if queries.is_empty() => changes.push(change),
                Statement::Query(query) if changes.is_empty() && if_version.is_none() => {
                    queries.push(query);
                }
                _ => {
                    self.next = start;
                    return Err(self.error("only changes or only queries in one batch"));
                }
            }
            if self.peek().kind != TokenKind::End && !self.take_punctuation(';') {
                return Err(self.error("';' or the end of the text"));
            }
        }
        if !queries.is_empty() {
            return Ok(BatchKind::Queries(queries));
        }
        if changes.is_empty() {
            return Err(self.error("a statement: create, alter, drop, drain or show"));
        }
        Ok(BatchKind::Changes(ChangeBatch { if_version, statements: changes }))
    }

    fn version_guard(&mut self) -> Result<Option<ConfigVersion>, ParseError> {
        if !self.take_word("if") {
            return Ok(None);
        }
        self.keyword("version")?;
        let version = self.value("a version number")?;
        self.punctuation(';')?;
        Ok(Some(version))
    }

    fn statement(&mut self) -> Result<Statement, ParseError> {
        if self.take_word("show") {
            return self.query().map(Statement::Query);
        }
        let change = if self.take_word("create") {
            self.create()
        } else if self.take_word("alter") {
            self.alter()
        } else if self.take_word("drop") {
            self.drop_object()
        } else if self.take_word("drain") {
            self.drain()
        } else {
            Err(self.error("create, alter, drop, drain or show"))
        };
        change.map(Statement::Change)
    }

    fn query(&mut self) -> Result<QueryStatement, ParseError> {
        if self.take_word("services") {
            return Ok(QueryStatement::Services);
        }
        if self.take_word("instances") {
            return Ok(QueryStatement::Instances);
        }
        if self.take_word("version") {
            return Ok(QueryStatement::Version);
        }
        if self.take_word("change") {
            return self.value("a change id").map(QueryStatement::Change);
        }
        if self.take_word("servers") {
            return self.in_service().map(QueryStatement::Servers);
        }
        if self.take_word("rules") {
            return self.in_service().map(QueryStatement::Rules);
        }
        if self.take_word("decisions") {
            return self.in_service().map(QueryStatement::Decisions);
        }
        Err(self.error("services, servers, rules, instances, version, change or decisions"))
    }

    fn create(&mut self) -> Result<ChangeStatement, ParseError> {
        if self.take_word("service") {
            let service = self.service()?;
            let change = self.service_change()?;
            return Ok(ChangeStatement::CreateService { service, change });
        }
        if self.take_word("server") {
            let (server, service) = self.server_in_service()?;
            self.keyword("at")?;
            let address = self.value("an address such as 127.0.0.1:9000")?;
            let change = self.server_change()?;
            return Ok(ChangeStatement::CreateServer { service, server, address, change });
        }
        if self.take_word("rule") {
            let (service, route) = self.rule_in_service()?;
            let change = self.rule_change()?;
            return Ok(ChangeStatement::CreateRule { service, route, change });
        }
        Err(self.error("service, server or rule"))
    }

    fn alter(&mut self) -> Result<ChangeStatement, ParseError> {
        if self.take_word("service") {
            let service = self.service()?;
            let change = self.service_change()?;
            return Ok(ChangeStatement::AlterService { service, change });
        }
        if self.take_word("server") {
            let (server, service) = self.server_in_service()?;
            let change = self.server_change()?;
            return Ok(ChangeStatement::AlterServer { service, server, change });
        }
        if self.take_word("rule") {
            let (service, route) = self.rule_in_service()?;
            let change = self.rule_change()?;
            return Ok(ChangeStatement::AlterRule { service, route, change });
        }
        Err(self.error("service, server or rule"))
    }

    fn drop_object(&mut self) -> Result<ChangeStatement, ParseError> {
        if self.take_word("service") {
            return Ok(ChangeStatement::DropService { service: self.service()? });
        }
        if self.take_word("server") {
            let (server, service) = self.server_in_service()?;
            return Ok(ChangeStatement::DropServer { service, server });
        }
        if self.take_word("rule") {
            let (service, route) = self.rule_in_service()?;
            return Ok(ChangeStatement::DropRule { service, route });
        }
        Err(self.error("service, server or rule"))
    }

    fn drain(&mut self) -> Result<ChangeStatement, ParseError> {
        if self.take_word("server") {
            let (server, service) = self.server_in_service()?;
            return Ok(ChangeStatement::DrainServer { service, server });
        }
        if self.take_word("instance") {
            let instance = self.value("an instance name")?;
            return Ok(ChangeStatement::DrainInstance { instance });
        }
        Err(self.error("server or instance"))
    }

    fn service(&mut self) -> Result<ServiceName, ParseError> {
        self.value("a service name")
    }

    fn in_service(&mut self) -> Result<ServiceName, ParseError> {
        self.keyword("in")?;
        self.service()
    }

    fn server_in_service(&mut self) -> Result<(ServerName, ServiceName), ParseError> {
        let server = self.value("a backend server name")?;
        let service = self.in_service()?;
        Ok((server, service))
    }

    fn rule_in_service(&mut self) -> Result<(ServiceName, RoutePrefix), ParseError> {
        let service = self.in_service()?;
        self.keyword("route")?;
        let route = self.value("a route that starts with '/'")?;
        Ok((service, route))
    }

    fn service_change(&mut self) -> Result<ServiceChange, ParseError> {
        let mut change = ServiceChange::default();
        self.settings(
            |parser, key| {
                match key {
                    "deadline_ms" => change.deadline = Some(parser.value("milliseconds")?),
                    "keep_ms" => change.keep = Some(parser.value("milliseconds")?),
                    "long_yield_ms" => change.long_yield = Some(parser.value("milliseconds")?),
                    "homes" => change.homes = Some(parser.home_count()?),
                    "probe_rate" => change.probe_rate = Some(parser.probe_rate()?),
                    _ => return Ok(false),
                }
                Ok(true)
            },
            "deadline_ms, keep_ms, long_yield_ms, homes or probe_rate",
        )?;
        Ok(change)
    }

    fn server_change(&mut self) -> Result<ServerChange, ParseError> {
        let mut change = ServerChange::default();
        self.settings(
            |parser, key| {
                match key {
                    "slots" => change.slots = Some(parser.slot_count()?),
                    "connections" => change.connections = Some(parser.value("a count")?),
                    "data_centre" => change.data_centre = Some(parser.value("a data centre name")?),
                    _ => return Ok(false),
                }
                Ok(true)
            },
            "slots, connections or data_centre",
        )?;
        Ok(change)
    }

    fn rule_change(&mut self) -> Result<RuleChange, ParseError> {
        let mut change = RuleChange::default();
        self.settings(
            |parser, key| {
                match key {
                    "class" => change.class = Some(parser.value("short or long")?),
                    "idempotent" => change.idempotent = Some(parser.value("true or false")?),
                    _ => return Ok(false),
                }
                Ok(true)
            },
            "class or idempotent",
        )?;
        Ok(change)
    }

    fn home_count(&mut self) -> Result<HomeCount, ParseError> {
        self.checked("a count from 1 to 16", |count: &HomeCount| (1..=16).contains(&count.0))
    }

    fn slot_count(&mut self) -> Result<SlotCount, ParseError> {
        self.checked("a count from 1 to 1024", |count: &SlotCount| (1..=1024).contains(&count.0))
    }

    fn probe_rate(&mut self) -> Result<ProbeRate, ParseError> {
        self.checked("probes a second from 0 to 100", |rate: &ProbeRate| {
            (0.0..=PROBE_RATE_MAX).contains(&rate.0)
        })
    }

    /// Parses optional settings `( key = value, ... )`. `set` parses the value of a key, and
    /// returns false for an unknown key. `keys` lists the valid keys for error messages.
    fn settings(
        &mut self,
        mut set: impl FnMut(&mut Self, &str) -> Result<bool, ParseError>,
        keys: &str,
    ) -> Result<(), ParseError> {
        if !self.take_punctuation('(') {
            return Ok(());
        }
        loop {
            let start = self.next;
            let key: SmolStr = self.value(keys)?;
            self.punctuation('=')?;
            if !set(self, &key)? {
                self.next = start;
                return Err(self.error(keys));
            }
            if self.take_punctuation(')') {
                return Ok(());
            }
            if !self.take_punctuation(',') {
                return Err(self.error("',' or ')'"));
            }
        }
    }

    fn peek(&self) -> &Token {
        &self.tokens[self.next]
    }

    fn error(&self, expected: &str) -> ParseError {
        let token = self.peek();
        ParseError {
            position: token.position,
            expected: expected.into(),
            found: token.kind.to_smolstr(),
        }
    }

    fn take_word(&mut self, word: &str) -> bool {
        let found =
            matches!(&self.peek().kind, TokenKind::Word(text) if text.eq_ignore_ascii_case(word));
        self.next += usize::from(found);
        found
    }

    fn keyword(&mut self, word: &str) -> Result<(), ParseError> {
        if self.take_word(word) { Ok(()) } else { Err(self.error(word)) }
    }

    fn take_punctuation(&mut self, character: char) -> bool {
        let found = self.peek().kind == TokenKind::Punctuation(character);
        self.next += usize::from(found);
        found
    }

    fn punctuation(&mut self, character: char) -> Result<(), ParseError> {
        if self.take_punctuation(character) {
            Ok(())
        } else {
            Err(self.error(&format_smolstr!("'{character}'")))
        }
    }

    fn value<T: FromStr>(&mut self, expected: &str) -> Result<T, ParseError> {
        self.checked(expected, |_| true)
    }

    fn checked<T: FromStr>(
        &mut self,
        expected: &str,
        is_valid: impl Fn(&T) -> bool,
    ) -> Result<T, ParseError> {
        let text = match &self.peek().kind {
            TokenKind::Word(text) | TokenKind::Quoted(text) => text,
            _ => return Err(self.error(expected)),
        };
        match text.parse() {
            Ok(value) if is_valid(&value) => {
                self.next += 1;
                Ok(value)
            }
            _ => Err(self.error(expected)),
        }
    }
}
