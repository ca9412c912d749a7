//! A small JSON reader and writer, enough for the documents of the store.

use std::fmt::{self, Display, Formatter};

/// A JSON value. Numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a complete document.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    /// Field of an object.
    pub fn field(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    /// Text of a string value.
    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Value of a whole number.
    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl Display for Json {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(text) => out.write_str(text),
            Json::Text(text) => write_text(out, text),
            Json::List(items) => {
                out.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(out, "{comma}{item}")?;
                }
                out.write_str("]")
            }
            Json::Object(fields) => {
                out.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    out.write_str(if index > 0 { "," } else { "" })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut Formatter<'_>, text: &str) -> fmt::Result {
    out.write_str("\"")?;
    for letter in text.chars() {
        match letter {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            letter if (letter as u32) < 0x20 => write!(out, "\\u{:04x}", letter as u32)?,
            letter => write!(out, "{letter}")?,
        }
    }
    out.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_here = self.bytes[self.at..].starts_with(word.as_bytes());
        is_here.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.list(),
            b'{' => self.object(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let from = self.at;
        while self.bytes.get(self.at).is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
        (!text.is_empty()).then(|| Json::Number(text.to_owned()))
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']').is_some() {
                return Some(Json::List(items));
            }
            self.take(b',')?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
            if self.take(b'}').is_some() {
                return Some(Json::Object(fields));
            }
            self.take(b',')?;
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let letter = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    let mut buffer = [0; 4];
                    text.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                }
                byte => text.push(byte),
            }
        }
    }
}
