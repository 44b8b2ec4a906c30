/**
 * ESLint rule `no-withdrawn-words`: refuses a withdrawn word in a name where the name is declared.
 *
 * Only declarations are reported, so that a name dictated from outside (a library's method, a generated field) can be
 * used freely. A name that has to stay is listed in the option `exceptions`, with the reason.
 */
import { relative, sep } from "node:path";

/**
 * Splits an identifier into lower-case words: `planMarkOf` gives plan, mark, of; `HTTPLink` gives http, link.
 *
 * @param {string} name
 * @returns {string[]}
 */
export function wordsOf(name) {
  return name
    .replace(/([a-z0-9])([A-Z])/g, "$1 $2")
    .replace(/([A-Z])([A-Z][a-z])/g, "$1 $2")
    .toLowerCase()
    .split(/[^a-z0-9]+/)
    .filter((word) => word !== "");
}

/** The identifiers that a pattern binds: of `{ a, b: [c = 1] }` a and c; a node that binds nothing gives none. */
function boundNames(pattern) {
  switch (pattern?.type) {
    case "Identifier":
      return [pattern];
    case "ObjectPattern":
      return pattern.properties.flatMap((property) => boundNames(property.value ?? property.argument));
    case "ArrayPattern":
      return pattern.elements.flatMap(boundNames);
    case "AssignmentPattern":
      return boundNames(pattern.left);
    case "RestElement":
      return boundNames(pattern.argument);
    case "TSParameterProperty":
      return boundNames(pattern.parameter);
    default:
      return [];
  }
}

/** The key of a class, interface or object member, unless it is computed, quoted or a number. */
function keyOf(member) {
  const isName = member.key.type === "Identifier" || member.key.type === "PrivateIdentifier";
  return isName && !member.computed ? [member.key] : [];
}

/** For each kind of syntax node that declares names, the identifiers it declares. */
const declaredBy = {
  VariableDeclarator: (node) => boundNames(node.id),
  "FunctionDeclaration, FunctionExpression, TSDeclareFunction": (node) => [node.id, ...node.params.flatMap(boundNames)],
  "ArrowFunctionExpression, TSEmptyBodyFunctionExpression, TSFunctionType, TSMethodSignature": (node) =>
    node.params.flatMap(boundNames),
  CatchClause: (node) => boundNames(node.param),
  "ClassDeclaration, ClassExpression": (node) => [node.id],
  "TSInterfaceDeclaration, TSTypeAliasDeclaration, TSEnumDeclaration": (node) => [node.id],
  TSEnumMember: (node) => boundNames(node.id),
  TSTypeParameter: (node) => [node.name],
  "MethodDefinition, PropertyDefinition, AccessorProperty": keyOf,
  "TSAbstractMethodDefinition, TSAbstractPropertyDefinition, TSPropertySignature": keyOf,
  "TSMethodSignature[computed=false]": keyOf,
  // A shorthand `{ mark }` repeats a name that is reported where it is declared.
  "ObjectExpression > Property[shorthand=false]": keyOf,
  "ImportSpecifier, ImportDefaultSpecifier, ImportNamespaceSpecifier": (node) =>
    node.imported?.name === node.local.name ? [] : [node.local],
  "ExportSpecifier[exported.type='Identifier']": (node) =>
    node.exported.name === node.local.name ? [] : [node.exported],
};

const schema = [
  {
    type: "object",
    required: ["words"],
    additionalProperties: false,
    properties: {
      words: { type: "object", additionalProperties: { type: "string" } },
      exceptions: {
        type: "array",
        items: {
          type: "object",
          required: ["files", "names", "reason"],
          additionalProperties: false,
          properties: {
            files: { type: "string", minLength: 1 },
            names: { type: "array", items: { type: "string" }, minItems: 1 },
            reason: { type: "string", minLength: 10 },
          },
        },
      },
    },
  },
];

/**
 * The rule. Its options: `words`, each withdrawn word with its standard term; `exceptions`, a list of `{ files, names,
 * reason }`, where `files` is a file or a folder from the root of the repository and `names` are whole identifiers.
 */
export const noWithdrawnWords = {
  meta: {
    type: "suggestion",
    docs: { description: "refuse words of the early naming style in declared names" },
    schema,
    messages: { withdrawn: "'{{name}}': the word '{{word}}' is withdrawn; use the standard term ({{term}})" },
  },
  create(context) {
    const { words, exceptions = [] } = context.options[0];
    const file = relative(context.cwd, context.filename).split(sep).join("/");
    const allowed = new Set(
      exceptions.filter(({ files }) => file === files || file.startsWith(`${files}/`)).flatMap(({ names }) => names),
    );
    const check = (identifier) => {
      if (!identifier || allowed.has(identifier.name)) return;
      for (const word of new Set(wordsOf(identifier.name))) {
        if (!Object.hasOwn(words, word)) continue;
        context.report({
          node: identifier,
          messageId: "withdrawn",
          data: { name: identifier.name, word, term: words[word] },
        });
      }
    };
    return Object.fromEntries(
      Object.entries(declaredBy).map(([selector, namesOf]) => [selector, (node) => namesOf(node).forEach(check)]),
    );
  },
};
