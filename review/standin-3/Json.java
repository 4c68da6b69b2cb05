import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) new Json(text).value();
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    switch (c) {
      case '{' -> {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        skip();
        while (text.charAt(at) != '}') {
          skip();
          String key = string();
          skip();
          at++;
          map.put(key, value());
          skip();
          if (text.charAt(at) == ',') {
            at++;
            skip();
          }
        }
        at++;
        return map;
      }
      case '[' -> {
        List<Object> list = new ArrayList<>();
        at++;
        skip();
        while (text.charAt(at) != ']') {
          list.add(value());
          skip();
          if (text.charAt(at) == ',') {
            at++;
          }
          skip();
        }
        at++;
        return list;
      }
      case '"' -> {
        return string();
      }
      default -> {
        int from = at;
        while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) {
          at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
          case "true" -> true;
          case "false" -> false;
          case "null" -> null;
          default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : Double.valueOf(word);
        };
      }
    }
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char e = text.charAt(at++);
      switch (e) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(e);
      }
    }
    at++;
    return out.toString();
  }

  private void skip() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      String separator = "{";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append(map.isEmpty() ? "{}" : "}");
    } else if (value instanceof List<?> list) {
      out.append('[');
      for (int i = 0; i < list.size(); i++) {
        out.append(i > 0 ? "," : "");
        write(list.get(i), out);
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char c : string.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < 0x20 || c > 0x7e) {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }

  static long number(Map<String, Object> map, String key) {
    return map.get(key) instanceof Number number ? number.longValue() : 0;
  }

  static String string(Map<String, Object> map, String key) {
    return map.get(key) instanceof String string ? string : "";
  }
}
