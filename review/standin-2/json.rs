//! Reads the JSON bodies of the system.

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    /// Returns the entries of a list.
    pub fn list(&self) -> Option<&[Value]> {
        match self {
            Value::List(entries) => Some(entries),
            _ => None,
        }
    }

    /// Returns a number.
    pub fn number(&self) -> Option<f64> {
        match self {
            Value::Number(number) => Some(*number),
            _ => None,
        }
    }

    /// Returns a text.
    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }
}

/// Parses a body; returns `None` if it is not JSON.
pub fn parse(text: &str) -> Option<Value> {
    let mut reader = Reader {
        rest: text.as_bytes(),
    };
    let value = reader.value()?;
    reader.space();
    reader.rest.is_empty().then_some(value)
}

struct Reader<'a> {
    rest: &'a [u8],
}

impl Reader<'_> {
    fn space(&mut self) {
        while let [b' ' | b'\t' | b'\r' | b'\n', rest @ ..] = self.rest {
            self.rest = rest;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        if self.rest.first() != Some(&byte) {
            return None;
        }
        self.rest = &self.rest[1..];
        Some(())
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        self.rest = self.rest.strip_prefix(word.as_bytes())?;
        Some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.space();
        match self.rest.first()? {
            b'n' => self.word("null", Value::Null),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'"' => self.text().map(Value::Text),
            b'[' => self.list(),
            b'{' => self.object(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let length = self.rest.iter().take_while(|byte| is_part(byte)).count();
        let (number, rest) = self.rest.split_at(length);
        self.rest = rest;
        let number = std::str::from_utf8(number).ok()?;
        number.parse().ok().map(Value::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let (byte, rest) = self.rest.split_first()?;
            self.rest = rest;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let (escaped, rest) = self.rest.split_first()?;
                    self.rest = rest;
                    text.push(*escaped);
                }
                other => text.push(*other),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take(b'[')?;
        let mut entries = Vec::new();
        if self.take(b']').is_some() {
            return Some(Value::List(entries));
        }
        loop {
            entries.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Value::List(entries));
            }
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Value::Object(fields));
        }
        loop {
            self.space();
            let name = self.text()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Value::Object(fields));
            }
        }
    }
}
