/** Immutable sorted map (weight-balanced tree): each change returns a new map that shares all but O(log n) nodes with the old one. */

/** Compares two keys: negative, 0 or positive. */
export type CompareKeys<K> = (a: K, b: K) => number

interface Node<K, V> {
  readonly key: K
  readonly value: V
  readonly size: number
  readonly left: Node<K, V> | undefined
  readonly right: Node<K, V> | undefined
}

type Tree<K, V> = Node<K, V> | undefined

/** Largest ratio between the weights of the two subtrees of a node. */
const MAX_WEIGHT_RATIO = 3
/** From this ratio of the inner to the outer grandchild's weight, a double rotation is needed. */
const DOUBLE_ROTATION_RATIO = 2

/** Immutable map with ordered keys. */
export class SortedMap<K, V> {
  readonly #compare: CompareKeys<K>
  readonly #root: Tree<K, V>

  private constructor (compare: CompareKeys<K>, root: Tree<K, V>) {
    this.#compare = compare
    this.#root = root
  }

  /**
   * Creates an empty map.
   * @example SortedMap.create<number, string>((a, b) => a - b)
   */
  static create<K, V> (compare: CompareKeys<K>): SortedMap<K, V> {
    return new SortedMap<K, V>(compare, undefined)
  }

  /** The number of keys. */
  get size (): number {
    return getSize(this.#root)
  }

  /** The lowest key and its value. */
  get first (): readonly [K, V] | undefined {
    let node = this.#root
    while (node?.left !== undefined) node = node.left
    return node === undefined ? undefined : [node.key, node.value]
  }

  /** The highest key and its value. */
  get last (): readonly [K, V] | undefined {
    let node = this.#root
    while (node?.right !== undefined) node = node.right
    return node === undefined ? undefined : [node.key, node.value]
  }

  /** Returns the value of a key in O(log n). */
  get (key: K): V | undefined {
    let node = this.#root
    while (node !== undefined) {
      const order = this.#compare(key, node.key)
      if (order === 0) return node.value
      node = order < 0 ? node.left : node.right
    }
    return undefined
  }

  /** Returns a map with the key set to a value, in O(log n). */
  set (key: K, value: V): SortedMap<K, V> {
    return new SortedMap(this.#compare, setNode(this.#root, this.#compare, key, value))
  }

  /** Returns a map without the key, in O(log n). */
  delete (key: K): SortedMap<K, V> {
    return new SortedMap(this.#compare, deleteNode(this.#root, this.#compare, key))
  }

  /** Lists the values in the order of their keys. */
  listValues (): readonly V[] {
    const values: V[] = []
    collectValues(this.#root, values)
    return values
  }
}

function getSize (tree: Tree<unknown, unknown>): number {
  return tree?.size ?? 0
}

function createNode<K, V> (left: Tree<K, V>, key: K, value: V, right: Tree<K, V>): Node<K, V> {
  return { left, key, value, right, size: getSize(left) + getSize(right) + 1 }
}

function getWeight (tree: Tree<unknown, unknown>): number {
  return getSize(tree) + 1
}

function createBalancedNode<K, V> (left: Tree<K, V>, key: K, value: V, right: Tree<K, V>): Node<K, V> {
  if (right !== undefined && getWeight(right) > MAX_WEIGHT_RATIO * getWeight(left)) return buildFromRightHeavy(left, key, value, right)
  if (left !== undefined && getWeight(left) > MAX_WEIGHT_RATIO * getWeight(right)) return buildFromLeftHeavy(left, key, value, right)
  return createNode(left, key, value, right)
}

function buildFromRightHeavy<K, V> (left: Tree<K, V>, key: K, value: V, right: Node<K, V>): Node<K, V> {
  const inner = right.left
  if (inner === undefined || getWeight(inner) < DOUBLE_ROTATION_RATIO * getWeight(right.right)) {
    return createNode(createNode(left, key, value, inner), right.key, right.value, right.right)
  }
  return createNode(createNode(left, key, value, inner.left), inner.key, inner.value, createNode(inner.right, right.key, right.value, right.right))
}

function buildFromLeftHeavy<K, V> (left: Node<K, V>, key: K, value: V, right: Tree<K, V>): Node<K, V> {
  const inner = left.right
  if (inner === undefined || getWeight(inner) < DOUBLE_ROTATION_RATIO * getWeight(left.left)) {
    return createNode(left.left, left.key, left.value, createNode(inner, key, value, right))
  }
  return createNode(createNode(left.left, left.key, left.value, inner.left), inner.key, inner.value, createNode(inner.right, key, value, right))
}

function setNode<K, V> (tree: Tree<K, V>, compare: CompareKeys<K>, key: K, value: V): Node<K, V> {
  if (tree === undefined) return createNode(undefined, key, value, undefined)
  const order = compare(key, tree.key)
  if (order === 0) return { ...tree, value }
  if (order < 0) return createBalancedNode(setNode(tree.left, compare, key, value), tree.key, tree.value, tree.right)
  return createBalancedNode(tree.left, tree.key, tree.value, setNode(tree.right, compare, key, value))
}

function deleteNode<K, V> (tree: Tree<K, V>, compare: CompareKeys<K>, key: K): Tree<K, V> {
  if (tree === undefined) return undefined
  const order = compare(key, tree.key)
  if (order < 0) return createBalancedNode(deleteNode(tree.left, compare, key), tree.key, tree.value, tree.right)
  if (order > 0) return createBalancedNode(tree.left, tree.key, tree.value, deleteNode(tree.right, compare, key))
  if (tree.left === undefined) return tree.right
  if (tree.right === undefined) return tree.left
  let next = tree.right
  while (next.left !== undefined) next = next.left
  return createBalancedNode(tree.left, next.key, next.value, deleteNode(tree.right, compare, next.key))
}

function collectValues<K, V> (tree: Tree<K, V>, values: V[]): void {
  if (tree === undefined) return
  collectValues(tree.left, values)
  values.push(tree.value)
  collectValues(tree.right, values)
}
