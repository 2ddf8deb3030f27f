//! Splits the text of a batch into tokens with their places.

use smol_str::SmolStr;
use std::fmt;
use winnow::Parser;
use winnow::ascii::{multispace1, till_line_ending};
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{one_of, take_while};

/// A place in the text, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TextPlace {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl TextPlace {
    /// Finds the place of a byte offset.
    pub fn of_offset(text: &str, offset: usize) -> Self {
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for TextPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// What a token is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenKind {
    /// A keyword, name or value without quotes.
    Word(SmolStr),
    /// A text in double quotes.
    Quoted(SmolStr),
    /// One of `; , ( ) =`.
    Mark(char),
    /// The end of the text.
    End,
}

impl fmt::Display for TokenKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Word(word) => write!(f, "{word}"),
            Self::Quoted(text) => write!(f, "{text:?}"),
            Self::Mark(mark) => write!(f, "'{mark}'"),
            Self::End => f.write_str("the end of the text"),
        }
    }
}

/// A token and where it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedToken {
    /// What it is.
    pub kind: TokenKind,
    /// Where it starts.
    pub place: TextPlace,
}

type Input<'a> = LocatingSlice<&'a str>;
type LexResult<T> = Result<T, ErrMode<ContextError>>;

fn skip_blank(input: &mut Input<'_>) -> LexResult<()> {
    let comment = preceded(alt(("--", "#")), till_line_ending).void();
    repeat(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn word(input: &mut Input<'_>) -> LexResult<TokenKind> {
    let allowed =
        |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '/' | '[' | ']');
    take_while(1.., allowed).map(|text: &str| TokenKind::Word(text.into())).parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> LexResult<TokenKind> {
    let escaped = preceded('\\', one_of(['"', '\\']));
    let plain = one_of(|c: char| c != '"' && c != '\\' && c != '\n');
    delimited('"', repeat(0.., alt((escaped, plain))), '"')
        .map(|text: String| TokenKind::Quoted(text.into()))
        .parse_next(input)
}

fn mark(input: &mut Input<'_>) -> LexResult<TokenKind> {
    one_of([';', ',', '(', ')', '=']).map(TokenKind::Mark).parse_next(input)
}

/// Splits `text` into tokens; the last one is [`TokenKind::End`].
///
/// # Errors
/// The place of the first character that starts no token.
pub fn split_tokens(text: &str) -> Result<Vec<PlacedToken>, TextPlace> {
    let mut input = LocatingSlice::new(text);
    let mut tokens = Vec::new();
    loop {
        let place_of = |offset| TextPlace::of_offset(text, offset);
        let start = input.current_token_start();
        skip_blank(&mut input).map_err(|_| place_of(start))?;
        let start = input.current_token_start();
        let place = place_of(start);
        if input.peek_token().is_none() {
            tokens.push(PlacedToken { kind: TokenKind::End, place });
            return Ok(tokens);
        }
        let kind = alt((quoted, mark, word)).parse_next(&mut input).map_err(|_| place)?;
        tokens.push(PlacedToken { kind, place });
    }
}
