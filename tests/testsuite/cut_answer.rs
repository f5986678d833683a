//! [`CutAnswer`]: the answer of an instance whose connection ends after some of its bytes.

use std::ops::RangeInclusive;

use crate::answering_worker::{Answer, AnswerEnd};

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// In chunks, with extensions and a trailer.
    Chunked,
    /// By the end of the connection.
    Connection,
}

impl Framing {
    pub const ALL: [Self; 3] = [Self::Length, Self::Chunked, Self::Connection];
}

/// What an answer contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// A text.
    Plain,
    /// A stream with the events of these ids.
    Events(RangeInclusive<u64>),
}

impl Content {
    const fn media_type(&self) -> &'static str {
        match self {
            Self::Plain => "text/plain",
            Self::Events(_) => "text/event-stream",
        }
    }

    /// Returns the parts of the body, each of which is a chunk if it is chunked.
    fn parts(&self) -> Vec<String> {
        match self {
            Self::Plain => vec!["the first ".to_owned(), "and the last part".to_owned()],
            Self::Events(ids) => ids
                .clone()
                .map(|id| format!("id: {id}\ndata: p{id}\n\n"))
                .collect(),
        }
    }
}

/// What a caller may receive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No success that looks complete.
    Failure,
    /// A complete success with this body.
    Success(String),
    /// Either of them, as a reset after the last byte may discard what was not read.
    Either(String),
}

/// The answer of an instance to a request, whose connection ends after some of its bytes.
#[derive(Clone, Debug)]
pub struct CutAnswer {
    framing: Framing,
    end: AnswerEnd,
    content: Content,
    text: String,
    head_len: usize,
}

impl CutAnswer {
    pub fn new(id: &str, framing: Framing, end: AnswerEnd, content: Content) -> Self {
        let parts = content.parts();
        let body = parts.concat();
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\ncontent-type: {}\r\n",
            content.media_type()
        );
        text += &match framing {
            Framing::Length => format!("content-length: {}\r\n\r\n", body.len()),
            Framing::Chunked => "transfer-encoding: chunked\r\ntrailer: t\r\n\r\n".to_owned(),
            Framing::Connection => "\r\n".to_owned(),
        };
        let head_len = text.len();
        if framing == Framing::Chunked {
            for part in parts {
                text += &format!("{:x};x=1\r\n{part}\r\n", part.len());
            }
            text += "0\r\nt: end\r\n\r\n";
        } else {
            text += &body;
        }
        Self {
            framing,
            end,
            content,
            text,
            head_len,
        }
    }

    /// Returns the number of bytes of the whole answer.
    pub const fn len(&self) -> usize {
        self.text.len()
    }

    /// Returns the answer up to one of its bytes.
    pub fn until(&self, cut: usize) -> Answer {
        Answer::new(&self.text[..cut], self.end)
    }

    /// Returns what a caller may receive if the answer ends at a byte.
    pub fn expected(&self, cut: usize) -> Expected {
        let is_whole = cut == self.text.len();
        let body = self.content.parts().concat();
        match (self.framing, self.end) {
            _ if cut < self.head_len => Expected::Failure,
            (Framing::Connection, AnswerEnd::Close) => self.ended_with_connection(cut),
            (Framing::Connection, _) => Expected::Failure,
            (_, AnswerEnd::Reset) if is_whole => Expected::Either(body),
            _ if is_whole => Expected::Success(body),
            _ => Expected::Failure,
        }
    }

    /// Returns the same for an answer that ends with its connection. It is complete as far as can be
    /// known, unless it is a stream that ends inside an event or has none.
    fn ended_with_connection(&self, cut: usize) -> Expected {
        let body = &self.text[self.head_len..cut];
        let is_broken_off = match self.content {
            Content::Plain => false,
            Content::Events(_) => !body.ends_with("\n\n"),
        };
        if is_broken_off {
            Expected::Failure
        } else {
            Expected::Success(body.to_owned())
        }
    }
}
