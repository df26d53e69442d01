use std::time::Duration;

use proptest::prelude::{Just, Strategy, any, prop, prop_assert, prop_assert_eq, proptest};
use serde_json::{Value, json};
use shallotlead_base::code::{Code, Execution, Refusal};

use super::{budget::Budget, failure::Failure, prompt::Prompt};

fn chat(body: &Value) -> Vec<u8> {
    Prompt::chat(body.to_string().as_bytes()).unwrap().text
}

fn messages(messages: &[(String, String)]) -> Value {
    let messages: Vec<_> =
        messages.iter().map(|(role, text)| json!({"role": role, "content": text})).collect();
    json!({"model": "m", "messages": messages})
}

// A tenant reads a paragraph about another flat. Two different prompts had the same canonical form;
// the engine took the one's cached work for the other's beginning.
#[test]
fn different_prompts_never_share_a_form() {
    let user =
        |content: Value| json!({"model": "m", "messages": [{"role": "user", "content": content}]});
    let with = |key: &str, value: Value| {
        let mut body = user(json!("a"));
        body[key] = value;
        body
    };
    let in_message = |key: &str, value: Value| {
        let mut body = user(json!("a"));
        body["messages"][0][key] = value;
        body
    };
    let forms: Vec<_> = [
        user(json!("a")),
        user(json!("a\0")),
        user(json!("a\0\u{1}user\0\0b")),
        user(json!(["a"])),
        user(json!([{"type": "text", "text": "a"}, {"type": "text", "text": ""}])),
        user(json!([{"type": "image_url", "image_url": {"url": "a"}}])),
        json!({"model": "m", "messages": [{"role": "user", "content": "a"}, {"role": "user", "content": "b"}]}),
        json!({"model": "m", "messages": [{"role": "user"}, {"role": "a", "content": null}]}),
        with("tools", json!([{"type": "function"}])),
        with("tools", json!([])),
        with("chat_template", json!("x")),
        with("response_format", json!({"type": "json_object"})),
        in_message("name", json!("b")),
        in_message("tool_calls", json!([])),
        in_message("reasoning_content", json!("b")),
    ]
    .iter()
    .map(chat)
    .collect();
    for (n, form) in forms.iter().enumerate() {
        assert!(!forms[..n].contains(form), "{n}");
    }
}

#[test]
fn sampling_and_layout_do_not_change_the_form() {
    let plain = chat(&json!({"model": "m", "messages": [{"role": "user", "content": "a"}]}));
    let body = br#" {"temperature":0.3,"user":"u", "messages":[{"content":"a","role":"user"}],
        "seed":1,"stream":true,"max_tokens":9,"model":"m","stop":["x"],"n":1} "#;
    let prompt = Prompt::chat(body).unwrap();
    assert_eq!(prompt.text, plain);
    assert!(prompt.stream);
    assert_eq!(prompt.max_tokens, 9);
    let part = json!({"model": "m", "messages": [{"role": "user", "content": [{"type": "text", "text": "a"}]}]});
    assert_eq!(chat(&part), plain);
}

// An organisation uses a model that its row doesn't list. The body named two models; the instance
// checked the first, and the engine ran the second.
#[test]
fn a_key_that_stands_twice_is_refused_at_every_depth() {
    for body in [
        r#"{"model":"a","model":"b","messages":[{"role":"user","content":"x"}]}"#,
        r#"{"model":"a","\u006dodel":"b","messages":[{"role":"user","content":"x"}]}"#,
        r#"{"model":"a","messages":[{"role":"user","content":"x","content":"y"}]}"#,
        r#"{"model":"a","messages":[{"role":"user","content":"x"}],"tools":[{"a":{"b":1,"b":2}}]}"#,
    ] {
        let failure = Prompt::chat(body.as_bytes()).unwrap_err();
        assert!(failure.message.contains("stands twice"), "{}", failure.message);
    }
}

#[test]
fn bodies_take_no_more_memory_than_the_budget() {
    let budget = Budget::new(10 << 10);
    let mut first = budget.take(8 << 10).unwrap();
    assert!(budget.take((2 << 10) + 1).is_none());
    first.shrink(1);
    let second = budget.take(9 << 10).unwrap();
    assert!(budget.take(1).is_none());
    drop((first, second));
    assert!(budget.take(10 << 10).is_some());
}

// An operator is told "not run" of a request whose answer is half on the caller's screen. The code
// was that of a later attempt, which indeed did not run.
#[test]
fn a_started_answer_is_never_called_not_run() {
    let refusal = Refusal { code: Code::NoServer, retry_after: Some(Duration::from_millis(1_500)) };
    let failure = Failure::from(refusal);
    assert_eq!(failure.execution, Execution::NotRun);
    assert_eq!(failure.clone().after_start().execution, Execution::Unknown);
    let response = failure.response(shallotlead_base::id::Request(1));
    assert_eq!(response.headers()["retry-after"], "2");
    assert_eq!(response.headers()["x-retry-after-ms"], "1500");
}

// A call is repeated by its key, and the instance that it comes to can't look the key up: "not run" was untrue of the
// first call.
#[test]
fn a_key_that_was_not_looked_up_is_never_called_not_run() {
    for code in [Code::ShuttingDown, Code::PlatformUnavailable, Code::IntentUnrecorded] {
        let failure = Failure::from(code);
        assert_eq!(failure.execution, Execution::NotRun);
        assert_eq!(failure.of_repeat().execution, Execution::Unknown);
    }
    // Refused for what it is, or once its key is recorded: no earlier call ran.
    for code in [Code::KeyReused, Code::DeadlineUnreachable, Code::ServerUnreachable] {
        assert_eq!(Failure::from(code).of_repeat().execution, Execution::NotRun);
    }
}

fn conversations() -> impl Strategy<Value = Vec<(String, String)>> {
    prop::collection::vec(("system|user|assistant", ".{0,40}"), 1..6)
}

fn json_values() -> impl Strategy<Value = Value> {
    let leaf = proptest::prop_oneof![
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
        Just(Value::Null),
    ];
    leaf.prop_recursive(4, 32, 4, |inner| {
        proptest::prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("role|content|text|type|[a-z]{1,4}", inner, 0..4)
                .prop_map(|it| Value::Object(it.into_iter().collect())),
        ]
    })
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(body in any::<Vec<u8>>()) {
        prop_assert!(Prompt::chat(&body).is_err());
        prop_assert!(Prompt::completion(&body).is_err());
    }

    #[test]
    fn any_json_is_read_or_refused(messages in json_values(), prompt in json_values()) {
        let chat = json!({"model": "m", "messages": messages});
        if let Err(failure) = Prompt::chat(chat.to_string().as_bytes()) {
            prop_assert_eq!(failure.code, Code::RequestMalformed);
        }
        let completion = json!({"model": "m", "prompt": prompt});
        prop_assert!(Prompt::completion(completion.to_string().as_bytes()).is_ok());
    }

    #[test]
    fn a_longer_conversation_begins_like_the_shorter_one(conversation in conversations(), cut in any::<prop::sample::Index>()) {
        let cut = 1 + cut.index(conversation.len());
        let whole = chat(&messages(&conversation));
        prop_assert!(whole.starts_with(&chat(&messages(&conversation[..cut]))));
    }

    #[test]
    fn only_equal_conversations_have_equal_forms(one in conversations(), other in conversations()) {
        let equal = chat(&messages(&one)) == chat(&messages(&other));
        prop_assert_eq!(equal, one == other);
    }

    #[test]
    fn texts_that_begin_alike_have_forms_that_begin_alike(start in "[a-z\0]{0,300}", one in ".{0,9}", other in ".{0,9}") {
        let form = |end: &str| chat(&messages(&[("user".to_owned(), format!("{start}{end}"))]));
        let (one, other) = (form(&one), form(&other));
        let shared = one.iter().zip(&other).take_while(|(a, b)| a == b).count();
        prop_assert!(start.len() <= shared);
    }
}
