//! Finds the values of an object's members in JSON text.

/// The text of the member `name` of the object in `text`.
pub fn get<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let end = value_end(bytes, at);
        let key = &text[at + 1..end - 1];
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        let start = skip_space(bytes, at + 1);
        let end = value_end(bytes, start);
        if key == name {
            return Some(&text[start..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// The member `name`, which is a string without escapes; empty if there is none.
pub fn text(object: &str, name: &str) -> String {
    get(object, name).unwrap_or_default().trim_matches('"').to_owned()
}

/// The member `name`, which is a whole number; zero if there is none.
pub fn number(object: &str, name: &str) -> u64 {
    get(object, name).and_then(|it| it.parse().ok()).unwrap_or(0)
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Where the value ends that begins at `at`.
fn value_end(bytes: &[u8], mut at: usize) -> usize {
    let (mut depth, mut in_string) = (0, false);
    while let Some(byte) = bytes.get(at) {
        match byte {
            b'\\' if in_string => at += 1,
            b'"' => {
                in_string = !in_string;
                if !in_string && depth == 0 {
                    return at + 1;
                }
            }
            _ if in_string => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}
