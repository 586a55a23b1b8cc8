//! A small JSON reader, for the bodies of calls to the store.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        if let Json::Text(text) = self { Some(text) } else { None }
    }

    pub fn number(&self) -> Option<u64> {
        if let Json::Number(text) = self { text.parse().ok() } else { None }
    }

    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(value) => value.to_string(),
            Json::Number(text) => text.clone(),
            Json::Text(text) => quote(text),
            Json::List(items) => {
                format!("[{}]", items.iter().map(Json::write).collect::<Vec<_>>().join(","))
            }
            Json::Table(fields) => {
                let fields =
                    fields.iter().map(|(key, value)| format!("{}:{}", quote(key), value.write()));
                format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            letter if (letter as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

pub fn parse(bytes: &[u8]) -> Option<Json> {
    let text: Vec<char> = std::str::from_utf8(bytes).ok()?.chars().collect();
    let mut at = 0;
    value(&text, &mut at)
}

fn skip(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|letter| letter.is_whitespace()) {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match text.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let key = string(text, at)?;
                        skip(text, at);
                        *at += 1;
                        fields.push((key, value(text, at)?));
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(value(text, at)?),
                }
            }
        }
        '"' => string(text, at).map(Json::Text),
        _ => {
            let start = *at;
            while text
                .get(*at)
                .is_some_and(|letter| letter.is_ascii_alphanumeric() || "+-.".contains(*letter))
            {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            Some(match word.as_str() {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                "" => return None,
                _ => Json::Number(word),
            })
        }
    }
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut read = String::new();
    loop {
        let letter = *text.get(*at)?;
        *at += 1;
        match letter {
            '"' => return Some(read),
            '\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                read.push(match escaped {
                    'n' => '\n',
                    't' => '\t',
                    'r' => '\r',
                    'b' => '\u{8}',
                    'f' => '\u{c}',
                    'u' => {
                        let digits: String = text.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        char::from_u32(u32::from_str_radix(&digits, 16).ok()?).unwrap_or('?')
                    }
                    other => other,
                });
            }
            letter => read.push(letter),
        }
    }
}
