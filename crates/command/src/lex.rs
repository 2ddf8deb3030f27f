//! Splits the text of a batch into tokens with their positions.

use smol_str::SmolStr;
use std::fmt;
use winnow::Parser;
use winnow::ascii::{multispace1, till_line_ending};
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{one_of, take_while};

/// A position in the text; line and column start at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TextPosition {
    /// Line number.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

impl TextPosition {
    /// Returns the position of a byte offset.
    pub fn of_offset(text: &str, offset: usize) -> Self {
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for TextPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// Kind and content of a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenKind {
    /// A keyword, name or value without quotes.
    Word(SmolStr),
    /// A string in double quotes, without the quotes and escapes.
    Quoted(SmolStr),
    /// One of `; , ( ) =`.
    Punctuation(char),
    /// The end of the text.
    End,
}

impl fmt::Display for TokenKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Word(word) => write!(f, "{word}"),
            Self::Quoted(text) => write!(f, "{text:?}"),
            Self::Punctuation(character) => write!(f, "'{character}'"),
            Self::End => f.write_str("the end of the text"),
        }
    }
}

/// A token with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Kind and content.
    pub kind: TokenKind,
    /// Position of the first character.
    pub position: TextPosition,
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

fn punctuation(input: &mut Input<'_>) -> LexResult<TokenKind> {
    one_of([';', ',', '(', ')', '=']).map(TokenKind::Punctuation).parse_next(input)
}

/// Splits `text` into tokens; the last one is [`TokenKind::End`].
///
/// # Errors
/// Position of the first character that cannot start a token.
pub fn split_tokens(text: &str) -> Result<Vec<Token>, TextPosition> {
    let mut input = LocatingSlice::new(text);
    let mut tokens = Vec::new();
    loop {
        let position_of = |offset| TextPosition::of_offset(text, offset);
        let start = input.current_token_start();
        skip_blank(&mut input).map_err(|_| position_of(start))?;
        let start = input.current_token_start();
        let position = position_of(start);
        if input.peek_token().is_none() {
            tokens.push(Token { kind: TokenKind::End, position });
            return Ok(tokens);
        }
        let kind = alt((quoted, punctuation, word)).parse_next(&mut input).map_err(|_| position)?;
        tokens.push(Token { kind, position });
    }
}
