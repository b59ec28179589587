/** A read-only sorted map: every change returns a new map and shares all but O(log n) nodes with the old one. */

/** Orders two keys: below 0, 0 or above 0. */
export type CompareKeys<K> = (one: K, other: K) => number

interface Node<K, V> {
  readonly key: K
  readonly value: V
  readonly size: number
  readonly left: Node<K, V> | undefined
  readonly right: Node<K, V> | undefined
}

type Tree<K, V> = Node<K, V> | undefined

/** How many times heavier one side of a node may be than the other. */
const MAX_WEIGHT_RATIO = 3
/** From which weight of its inner child a heavy side needs two rotations. */
const DOUBLE_ROTATION_RATIO = 2

/** Keys in order, with their values. */
export class SortedMap<K, V> {
  readonly #compare: CompareKeys<K>
  readonly #root: Tree<K, V>

  private constructor (compare: CompareKeys<K>, root: Tree<K, V>) {
    this.#compare = compare
    this.#root = root
  }

  /**
   * Creates an empty map.
   * @example SortedMap.create<number, string>((one, other) => one - other)
   */
  static create<K, V> (compare: CompareKeys<K>): SortedMap<K, V> {
    return new SortedMap<K, V>(compare, undefined)
  }

  /** The number of keys. */
  get size (): number {
    return readSize(this.#root)
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

  /** Finds the value of a key in O(log n). */
  find (key: K): V | undefined {
    let node = this.#root
    while (node !== undefined) {
      const order = this.#compare(key, node.key)
      if (order === 0) return node.value
      node = order < 0 ? node.left : node.right
    }
    return undefined
  }

  /** Returns a map with the key set to a value, in O(log n). */
  put (key: K, value: V): SortedMap<K, V> {
    return new SortedMap(this.#compare, putNode(this.#root, this.#compare, key, value))
  }

  /** Returns a map without the key, in O(log n). */
  drop (key: K): SortedMap<K, V> {
    return new SortedMap(this.#compare, dropNode(this.#root, this.#compare, key))
  }

  /** Lists the values in the order of their keys. */
  list (): readonly V[] {
    const values: V[] = []
    collectValues(this.#root, values)
    return values
  }
}

function readSize (tree: Tree<unknown, unknown>): number {
  return tree?.size ?? 0
}

function createNode<K, V> (left: Tree<K, V>, key: K, value: V, right: Tree<K, V>): Node<K, V> {
  return { left, key, value, right, size: readSize(left) + readSize(right) + 1 }
}

function readWeight (tree: Tree<unknown, unknown>): number {
  return readSize(tree) + 1
}

function mergeBalanced<K, V> (left: Tree<K, V>, key: K, value: V, right: Tree<K, V>): Node<K, V> {
  if (right !== undefined && readWeight(right) > MAX_WEIGHT_RATIO * readWeight(left)) return releaseRight(left, key, value, right)
  if (left !== undefined && readWeight(left) > MAX_WEIGHT_RATIO * readWeight(right)) return releaseLeft(left, key, value, right)
  return createNode(left, key, value, right)
}

function releaseRight<K, V> (left: Tree<K, V>, key: K, value: V, right: Node<K, V>): Node<K, V> {
  const inner = right.left
  if (inner === undefined || readWeight(inner) < DOUBLE_ROTATION_RATIO * readWeight(right.right)) {
    return createNode(createNode(left, key, value, inner), right.key, right.value, right.right)
  }
  return createNode(createNode(left, key, value, inner.left), inner.key, inner.value, createNode(inner.right, right.key, right.value, right.right))
}

function releaseLeft<K, V> (left: Node<K, V>, key: K, value: V, right: Tree<K, V>): Node<K, V> {
  const inner = left.right
  if (inner === undefined || readWeight(inner) < DOUBLE_ROTATION_RATIO * readWeight(left.left)) {
    return createNode(left.left, left.key, left.value, createNode(inner, key, value, right))
  }
  return createNode(createNode(left.left, left.key, left.value, inner.left), inner.key, inner.value, createNode(inner.right, key, value, right))
}

function putNode<K, V> (tree: Tree<K, V>, compare: CompareKeys<K>, key: K, value: V): Node<K, V> {
  if (tree === undefined) return createNode(undefined, key, value, undefined)
  const order = compare(key, tree.key)
  if (order === 0) return { ...tree, value }
  if (order < 0) return mergeBalanced(putNode(tree.left, compare, key, value), tree.key, tree.value, tree.right)
  return mergeBalanced(tree.left, tree.key, tree.value, putNode(tree.right, compare, key, value))
}

function dropNode<K, V> (tree: Tree<K, V>, compare: CompareKeys<K>, key: K): Tree<K, V> {
  if (tree === undefined) return undefined
  const order = compare(key, tree.key)
  if (order < 0) return mergeBalanced(dropNode(tree.left, compare, key), tree.key, tree.value, tree.right)
  if (order > 0) return mergeBalanced(tree.left, tree.key, tree.value, dropNode(tree.right, compare, key))
  if (tree.left === undefined) return tree.right
  if (tree.right === undefined) return tree.left
  let next = tree.right
  while (next.left !== undefined) next = next.left
  return mergeBalanced(tree.left, next.key, next.value, dropNode(tree.right, compare, next.key))
}

function collectValues<K, V> (tree: Tree<K, V>, values: V[]): void {
  if (tree === undefined) return
  collectValues(tree.left, values)
  values.push(tree.value)
  collectValues(tree.right, values)
}
